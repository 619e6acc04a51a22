import type { StatementAccess, UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'

interface PreparedStatement { name: string, access: StatementAccess, shape: string }

/**
 * Session settings and prepared statements that one upstream connection currently holds. `listCommands` returns the commands
 * that must precede a statement so that it runs with exactly the values and the prepared statement of its caller's session.
 */
export class ConnectionSetup {
  #isKnown = true
  #values = new Map<string, string>()
  #prepared = new Map<string, string>()

  static create (): ConnectionSetup {
    return new ConnectionSetup()
  }

  /** Returns whether the connection holds exactly these values. */
  hasValues (values: ReadonlyArray<[string, string]>): boolean {
    return this.#isKnown && values.length === this.#values.size && values.every(([name, value]) => this.#values.get(name) === value)
  }

  hasPrepared ({ name, access, shape }: PreparedStatement): boolean { return this.#prepared.get(name) === formatDefinition(access, shape) }

  /** Records that the state of the connection is unknown. The next commands begin with RESET. */
  clear (): void {
    this.#isKnown = false
    this.#values = new Map()
    this.#prepared = new Map()
  }

  /** Returns the commands to send and records them as executed. The connection must be closed when one of them fails. */
  listCommands (values: ReadonlyArray<[string, string]>, statement: PreparedStatement | undefined): UpstreamCommand[] {
    const commands: UpstreamCommand[] = []
    const requested = new Map(values)
    if (!this.#isKnown || [...this.#values.keys()].some((name) => !requested.has(name))) {
      commands.push({ type: 'reset' })
      this.#isKnown = true
      this.#values = new Map()
      this.#prepared = new Map()
    }
    for (const [name, value] of values) {
      if (this.#values.get(name) === value) continue
      commands.push({ type: 'set', name, value })
      this.#values.set(name, value)
    }
    if (statement !== undefined) commands.push(...this.#prepare(statement))
    return commands
  }

  #prepare ({ name, access, shape }: PreparedStatement): UpstreamCommand[] {
    const definition = formatDefinition(access, shape)
    const current = this.#prepared.get(name)
    if (current === definition) return []
    this.#prepared.set(name, definition)
    const prepare: UpstreamCommand = { type: 'prepare', name, access, shape }
    return current === undefined ? [prepare] : [{ type: 'deallocate', name }, prepare]
  }
}

function formatDefinition (access: StatementAccess, shape: string): string { return `${access} ${shape}` }
