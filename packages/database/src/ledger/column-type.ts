import { z } from 'zod'

export const columnTypeSchema = z.enum(['text', 'integer', 'bigint', 'numeric', 'boolean', 'timestamptz', 'jsonb', 'bytea'])

/** Types of columns. Timestamps, JSON and bytes are stored in text form; numbers are doubles. */
export type ColumnType = z.infer<typeof columnTypeSchema>
