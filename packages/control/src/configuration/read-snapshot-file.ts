import { readFileSync } from 'node:fs'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { ConfigurationUpdate } from '@tanagerusher/state/configuration/configuration-update'
import { err, ok, type Result } from 'neverthrow'
import { controlSnapshotSchema } from './control-snapshot-schema.js'

/** Reads a control-state snapshot. Rejects one with an unknown format version or invalid content. */
export function readSnapshotFile (path: string): Result<ConfigurationUpdate, TanagerusherError> {
  try {
    const parsed = controlSnapshotSchema.safeParse(JSON.parse(readFileSync(path, 'utf8')))
    if (parsed.success) return ok(parsed.data.configuration)
    const issue = parsed.error.issues[0]
    return err(createError(path, `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}`))
  } catch (cause) {
    return err(createError(path, String(cause)))
  }
}

function createError (path: string, found: string): TanagerusherError {
  return TanagerusherError.create('object-invalid', { details: { object: path, path: 'snapshot', found } })
}
