import type { StatementAccess, UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'

interface PreparedStatement { name: string, access: StatementAccess, shape: string }

/**
 * Session state that one upstream connection holds. `listCommands` gives what must be sent in front of a statement so that it
 * runs with exactly the values and the prepared statement that its caller set up.
 */
export class ConnectionSetup {
  #values = new Map<string, string>()
  #prepared = new Map<string, string>()

  static create (): ConnectionSetup {
    return new ConnectionSetup()
  }

  /** Whether the connection already holds exactly these values. */
  matches (values: ReadonlyArray<[string, string]>): boolean {
    return values.length === this.#values.size && values.every(([name, value]) => this.#values.get(name) === value)
  }

  /** Commands to send, which are taken as carried out. A connection that refuses one of them must be closed. */
  listCommands (values: ReadonlyArray<[string, string]>, needed: PreparedStatement | undefined): UpstreamCommand[] {
    const commands: UpstreamCommand[] = []
    const wanted = new Map(values)
    if ([...this.#values.keys()].some((name) => !wanted.has(name))) {
      commands.push({ type: 'reset' })
      this.#values = new Map()
      this.#prepared = new Map()
    }
    for (const [name, value] of values) {
      if (this.#values.get(name) === value) continue
      commands.push({ type: 'set', name, value })
      this.#values.set(name, value)
    }
    if (needed !== undefined) commands.push(...this.#prepare(needed))
    return commands
  }

  #prepare ({ name, access, shape }: PreparedStatement): UpstreamCommand[] {
    const definition = `${access} ${shape}`
    const known = this.#prepared.get(name)
    if (known === definition) return []
    this.#prepared.set(name, definition)
    const prepare: UpstreamCommand = { type: 'prepare', name, access, shape }
    return known === undefined ? [prepare] : [{ type: 'deallocate', name }, prepare]
  }
}
