import type { StoredChange } from '@tanagerusher/coordination/common/platform-store'
import { configurationChangeSchema, type ConfigurationChange } from '@tanagerusher/state/configuration/configuration-change'

/** Checks what the store holds. An object that fits no schema is reported and left out; it must not stop the others. */
export function parseStoredChanges (changes: readonly StoredChange[], report: (object: string, found: string) => void): ConfigurationChange[] {
  return changes.flatMap((change) => {
    const parsed = configurationChangeSchema.safeParse(change)
    if (parsed.success) return [parsed.data]
    const { kind, name } = change.type === 'put' ? change.object : change
    report(`${kind}/${name}`, parsed.error.issues[0]?.message ?? 'invalid')
    return []
  })
}
