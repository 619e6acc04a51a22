import type { StoredChange } from '@tanagerusher/coordination/common/platform-store'
import { configurationChangeSchema, type ConfigurationChange } from '@tanagerusher/state/configuration/configuration-change'

/** Validates changes from the store. An object that matches no schema is reported and skipped; it must not block the others. */
export function parseStoredChanges (changes: readonly StoredChange[], reportInvalid: (object: string, found: string) => void): ConfigurationChange[] {
  return changes.flatMap((change) => {
    const parsed = configurationChangeSchema.safeParse(change)
    if (parsed.success) return [parsed.data]
    const { kind, name } = change.type === 'put' ? change.object : change
    reportInvalid(`${kind}/${name}`, parsed.error.issues[0]?.message ?? 'invalid')
    return []
  })
}
