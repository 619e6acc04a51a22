import { ChangeWriter, type ChangeEffect, type ChangeEvent } from '@tanagerusher/coordination/configuration/change-writer'
import type { Change } from '@tanagerusher/coordination/configuration/change'
import type { PlatformStore } from '@tanagerusher/coordination/common/platform-store'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'

/**
 * Writes one change to the store and returns the resulting version.
 * @throws `version-conflict` when the object was changed concurrently; `store-unavailable` when it is unknown whether the change took
 * effect; `object-invalid` when the store rejects the value.
 */
export async function runChange (store: PlatformStore, change: Change): Promise<number> {
  const writer = ChangeWriter.create({ change })
  let effect = writer.handle({ type: 'start' })[0]
  while (effect !== undefined && effect.type !== 'accepted') {
    if (effect.type === 'conflict') throw createConflictError(change, effect.found)
    if (effect.type === 'unknown') throw TanagerusherError.create('store-unavailable', { details: { reason: 'the change may or may not have taken effect; read the object before repeating' } })
    effect = writer.handle(await runEffect(store, effect))[0]
  }
  return effect?.version ?? 0
}

async function runEffect (store: PlatformStore, effect: Extract<ChangeEffect, { type: 'write' | 'remove' | 'read' }>): Promise<ChangeEvent> {
  try {
    if (effect.type === 'read') return { type: 'read', object: await store.read(effect.kind, effect.name) }
    if (effect.type === 'write') {
      return { type: 'written', version: (await store.write(effect.kind, effect.name, effect.value, effect.expectedVersion)).version }
    }
    await store.remove(effect.kind, effect.name, effect.expectedVersion)
    return { type: 'written', version: 0 }
  } catch (error) {
    return describeFailure(effect, error)
  }
}

function describeFailure (effect: ChangeEffect, error: unknown): ChangeEvent {
  const kind = error instanceof TanagerusherError ? error.kind : 'internal'
  if (kind === 'version-conflict') return { type: 'conflict', found: Number((error as TanagerusherError).details.found ?? 0) }
  if (kind !== 'store-unavailable') throw error
  return { type: effect.type === 'read' ? 'read-failed' : 'lost' }
}

function createConflictError ({ kind, name, expectedVersion }: Change, found: number): TanagerusherError {
  return TanagerusherError.create('version-conflict', { details: { object: `${kind}/${name}`, found, expected: expectedVersion } })
}
