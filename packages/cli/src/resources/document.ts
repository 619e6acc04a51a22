export interface Document { kind: string, name: string, value: Record<string, unknown>, given: Record<string, unknown> }
