import { CommandFailure } from '../client/command-failure.js'
import type { Resource } from './resource.js'
import { resources } from './resources.js'

const PLURALS: Record<string, string> = { organisations: 'organisation', groups: 'group', entries: 'entry' }

/**
 * Finds a resource by its singular or plural name.
 * @throws CommandFailure of kind `usage` when no resource has this name.
 */
export function findResource (name: string): Resource & { kind: string } {
  const kind = PLURALS[name] ?? name
  const resource = resources[kind]
  if (resource === undefined) throw new CommandFailure('usage', `There is no kind ${name}.`, `Use one of ${Object.keys(resources).join(', ')}.`)
  return { ...resource, kind }
}
