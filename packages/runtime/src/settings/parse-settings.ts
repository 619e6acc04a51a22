import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { err, ok, type Result } from 'neverthrow'
import type { z } from 'zod'

/** Checks settings against their schema and fills in defaults. The error names the path and what was found. */
export function parseSettings<Schema extends z.ZodType> (schema: Schema, text: string): Result<z.infer<Schema>, TanagerusherError> {
  let document: unknown
  try {
    document = JSON.parse(text)
  } catch (cause) {
    return err(TanagerusherError.create('settings-invalid', { details: { path: '(document)', found: String(cause) }, cause }))
  }
  const parsed = schema.safeParse(document)
  if (parsed.success) return ok(parsed.data)
  const issue = parsed.error.issues[0]
  const path = issue?.path.join('.') || '(document)'
  return err(TanagerusherError.create('settings-invalid', { details: { path, found: issue?.message } }))
}
