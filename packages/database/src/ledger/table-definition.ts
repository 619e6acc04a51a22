import { z } from 'zod'
import { columnTypeSchema } from './column-type.js'

const valueSchema = z.union([z.string(), z.number(), z.boolean(), z.null()])

/** Definition of a table, from the settings or a `CREATE TABLE` statement. */
export const tableDefinitionSchema = z.strictObject({
  name: z.string().min(1),
  columns: z.array(z.strictObject({
    name: z.string().min(1),
    type: columnTypeSchema,
    notNull: z.boolean().default(false),
    default: z.union([valueSchema, z.strictObject({ function: z.literal('now') })]).default(null)
  })).min(1),
  primaryKey: z.array(z.string()).default([]).describe('Columns of the primary key; a table without a primary key allows duplicate rows'),
  indexes: z.array(z.string()).default([]).describe('Columns with a non-unique index for equality conditions'),
  rows: z.array(z.array(valueSchema)).default([]).describe('Initial rows')
})

export type TableDefinition = z.infer<typeof tableDefinitionSchema>
