import { z } from 'zod'
import { columnTypeSchema } from './column-type.js'

const valueSchema = z.union([z.string(), z.number(), z.boolean(), z.null()])

/** Table as settings and `CREATE TABLE` describe it. */
export const tableDefinitionSchema = z.strictObject({
  name: z.string().min(1),
  columns: z.array(z.strictObject({
    name: z.string().min(1),
    type: columnTypeSchema,
    notNull: z.boolean().default(false),
    default: z.union([valueSchema, z.strictObject({ function: z.literal('now') })]).default(null)
  })).min(1),
  primaryKey: z.array(z.string()).default([]).describe('Columns of the primary key; none allows duplicates'),
  indexes: z.array(z.string()).default([]).describe('Columns with an index for equality; they make no value unique'),
  rows: z.array(z.array(valueSchema)).default([]).describe('Rows that exist from the start')
})

export type TableDefinition = z.infer<typeof tableDefinitionSchema>
