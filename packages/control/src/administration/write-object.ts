import { randomUUID } from 'node:crypto'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { runChange } from '../store/run-change.js'
import type { AdministrationContext } from './administration-context.js'
import type { RouteRequest } from './route-request.js'

interface WriteOptions {
  action: string
  kind: string
  name: string
  /** null removes the object. */
  value: Record<string, unknown> | null
  expectedVersion: number
}

const ACTIVATION_TIMEOUT_MS = 2000
const ACTIVATION_CHECK_INTERVAL_MS = 10

/**
 * Applies one change for an operator: writes the object if it has the expected version, writes an audit log line, and waits up to
 * 2 s until the change is in force at this host. A dry run changes nothing. Returns the version of the change.
 */
export async function writeObject (context: AdministrationContext, { operator, query }: Pick<RouteRequest<unknown>, 'operator' | 'query'>, options: WriteOptions): Promise<number> {
  const { kind, name, value, expectedVersion, action } = options
  const audit = { operator: operator.name, role: operator.role, action, object: `${kind}/${name}`, expectedVersion, dryRun: query.dryRun }
  if (query.dryRun) {
    checkVersion(context, options)
    context.logger.info('audit', { ...audit, result: 'dry run' })
    return expectedVersion
  }
  const changeId = randomUUID()
  try {
    const version = await runChange(context.store, { kind, name, value, expectedVersion, changeId })
    context.logger.info('audit', { ...audit, changeId, version, result: 'accepted' })
    await waitUntilActive(context, kind, name, value === null ? null : version)
    return version
  } catch (error) {
    context.logger.info('audit', { ...audit, changeId, result: error instanceof TanagerusherError ? error.kind : 'internal' })
    throw error
  }
}

function checkVersion ({ replica }: AdministrationContext, { kind, name, expectedVersion }: WriteOptions): void {
  const found = replica.find(kind, name)?.version ?? 0
  if (found !== expectedVersion) throw TanagerusherError.create('version-conflict', { details: { object: `${kind}/${name}`, found, expected: expectedVersion } })
}

async function waitUntilActive ({ replica, clock }: AdministrationContext, kind: string, name: string, version: number | null): Promise<void> {
  const deadline = clock.readTime() + ACTIVATION_TIMEOUT_MS
  const isActive = (): boolean => version === null ? replica.find(kind, name) === undefined : replica.version >= version
  while (!isActive() && clock.readTime() < deadline) await new Promise((resolve) => setTimeout(resolve, ACTIVATION_CHECK_INTERVAL_MS))
}
