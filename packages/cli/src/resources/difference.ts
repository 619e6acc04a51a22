export interface Difference { path: string, from: unknown, to: unknown }
