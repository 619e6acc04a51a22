export interface Document { kind: string, name: string, value: Record<string, unknown>, valueBeforeDefaults: Record<string, unknown> }
