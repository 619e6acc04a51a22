import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import type { StatementAccess, UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'
import { isNotRun } from '../outcome/is-not-run.js'

interface PreparedStatement { name: string, access: StatementAccess, shape: string }

/**
 * Session settings and prepared statements that one upstream connection holds according to its database's responses. `listCommands`
 * returns the commands that must succeed before a statement, so that it runs with exactly the values and the prepared statement of
 * its caller's session.
 */
export class ConnectionSetup {
  /** False while the connection may hold values or prepared statements that are not recorded here. */
  #isKnown = true
  readonly #values = new Map<string, string>()
  readonly #prepared = new Map<string, string>()

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
    this.#values.clear()
    this.#prepared.clear()
  }

  /** Returns the commands to send. Their responses go to `recordResponse`. */
  listCommands (values: ReadonlyArray<[string, string]>, statement: PreparedStatement | undefined): UpstreamCommand[] {
    const requested = new Map(values)
    const isReset = !this.#isKnown || [...this.#values.keys()].some((name) => !requested.has(name))
    const commands: UpstreamCommand[] = isReset ? [{ type: 'reset' }] : []
    for (const [name, value] of values) if (isReset || this.#values.get(name) !== value) commands.push({ type: 'set', name, value })
    if (statement === undefined || (!isReset && this.hasPrepared(statement))) return commands
    const { name, access, shape } = statement
    if (!isReset && this.#prepared.has(name)) commands.push({ type: 'deallocate', name })
    commands.push({ type: 'prepare', name, access, shape })
    return commands
  }

  /** Records what the response to a command shows. A command that may have run although it failed leaves the state unknown. */
  recordResponse (command: UpstreamCommand, response: StatementResponse): void {
    if (response.type === 'done') this.#apply(command)
    else if (response.type === 'lost' || !isNotRun(response.failure)) this.clear()
    else if (command.type === 'deallocate' && response.failure === 'unknown-statement') this.#prepared.delete(command.name)
  }

  #apply (command: UpstreamCommand): void {
    switch (command.type) {
      case 'reset':
        this.clear()
        this.#isKnown = true
        break
      case 'set': this.#values.set(command.name, command.value); break
      case 'prepare': this.#prepared.set(command.name, formatDefinition(command.access, command.shape)); break
      case 'deallocate': this.#prepared.delete(command.name); break
    }
  }
}

function formatDefinition (access: StatementAccess, shape: string): string { return `${access} ${shape}` }
