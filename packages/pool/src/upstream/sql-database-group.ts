import type { DatabaseGroup } from '@tanagerusher/coordination/common/database-group'
import type { RaiseTermResponse } from '@tanagerusher/coordination/common/raise-term-response'
import type { TermStart } from '@tanagerusher/coordination/failover/term-start'
import type { Group } from '@tanagerusher/state/configuration/group'
import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { Position } from '@tanagerusher/state/position/position'
import { decodeDatabaseStatus } from './decode-database-status.js'
import { runQuery } from './run-query.js'
import type { Row } from './row-collector.js'
import { UpstreamConnection } from './upstream-connection.js'

interface CreateOptions {
  group: Group
  applicationName: string
}

type Purpose = 'watch' | 'call'

/** Longer than the 200 ms of a long poll, so that a slow database can still respond. A later response counts as a failure. */
const CALL_TIMEOUT_MS = 2000
const CONNECT_TIMEOUT_MS = 2000

/**
 * Calls the control functions of a group's databases over SQL. Each member has one connection for the long poll and one for
 * calls, so that no call waits behind a long poll.
 */
export class SqlDatabaseGroup implements DatabaseGroup {
  #group: Group
  readonly #applicationName: string
  readonly #connections = new Map<string, Promise<UpstreamConnection>>()
  #closed = false

  private constructor (group: Group, applicationName: string) {
    this.#group = group
    this.#applicationName = applicationName
  }

  static create ({ group, applicationName }: CreateOptions): SqlDatabaseGroup {
    return new SqlDatabaseGroup(group, applicationName)
  }

  /** Applies a changed configuration and closes the connections to databases that were removed or whose address changed. */
  update (group: Group): void {
    const unchanged = group.databases.filter(({ name, host, port }) => (
      this.#group.databases.some((known) => known.name === name && known.host === host && known.port === port)
    ))
    this.#group = group
    for (const [key, opening] of this.#connections) {
      const [, database] = key.split(' ')
      if (unchanged.some(({ name }) => name === database)) continue
      this.#connections.delete(key)
      opening.then((connection) => { connection.close() }, () => {})
    }
  }

  async readStatus (database: string): Promise<DatabaseStatus> {
    return decodeDatabaseStatus((await this.#run(database, 'call', 'SELECT * FROM platform_status()'))[0])
  }

  async waitForChange (database: string, known: Position, timeoutMs: number, knownPromisedTerm?: number): Promise<DatabaseStatus> {
    const termArgument = knownPromisedTerm === undefined ? '' : `, ${knownPromisedTerm}`
    const text = `SELECT * FROM platform_wait(${known.term}, ${known.position}, ${Math.round(timeoutMs)}${termArgument})`
    return decodeDatabaseStatus((await this.#run(database, 'watch', text, timeoutMs))[0])
  }

  async raiseTerm (database: string, term: number): Promise<RaiseTermResponse> {
    const row = (await this.#run(database, 'call', `SELECT * FROM platform_raise_term(${term})`))[0]
    if (row === undefined) throw new Error('platform_raise_term() returned no row')
    return {
      granted: isTrue(row.granted),
      promisedTerm: Number(row.promised_term),
      log: { term: Number(row.log_term), position: Number(row.log_position) }
    }
  }

  async promote (database: string, term: number): Promise<boolean> {
    return readBoolean(await this.#run(database, 'call', `SELECT * FROM platform_promote(${term})`))
  }

  async follow (database: string, term: number, primary: string): Promise<boolean> {
    return readBoolean(await this.#run(database, 'call', `SELECT * FROM platform_follow(${term}, '${primary.replaceAll("'", "''")}')`))
  }

  async readTermHistory (database: string): Promise<TermStart[]> {
    const rows = await this.#run(database, 'call', 'SELECT * FROM platform_term_history()')
    return rows.map((row) => ({ term: Number(row.term), start: Number(row.start) }))
  }

  close (): void {
    this.#closed = true
    for (const opening of this.#connections.values()) opening.then((connection) => { connection.close() }, () => {})
    this.#connections.clear()
  }

  async #run (database: string, purpose: Purpose, text: string, waitMs = 0): Promise<Row[]> {
    const connection = await this.#open(database, purpose)
    const timer = setTimeout(() => { connection.destroy() }, CALL_TIMEOUT_MS + waitMs)
    try {
      return await runQuery(connection, text)
    } finally {
      clearTimeout(timer)
    }
  }

  async #open (database: string, purpose: Purpose): Promise<UpstreamConnection> {
    if (this.#closed) throw new Error('the control connections of the group are closed')
    const key = `${purpose} ${database}`
    const known = this.#connections.get(key)
    if (known !== undefined) return await known
    const opening = this.#connect(database)
    this.#connections.set(key, opening)
    const removeConnection = (): void => { if (this.#connections.get(key) === opening) this.#connections.delete(key) }
    opening.then((connection) => { void connection.closed.then(removeConnection) }, removeConnection)
    return await opening
  }

  async #connect (database: string): Promise<UpstreamConnection> {
    const member = this.#group.databases.find(({ name }) => name === database)
    if (member === undefined) throw new Error(`database ${database} is not in the configuration of the group`)
    const { databaseName, user, password } = this.#group
    return await UpstreamConnection.open({
      address: { host: member.host, port: member.port, databaseName, user, password },
      timeoutMs: CONNECT_TIMEOUT_MS,
      applicationName: this.#applicationName
    })
  }
}

function isTrue (value: string | null | undefined): boolean {
  return value === 't' || value === 'true'
}

function readBoolean (rows: Row[]): boolean {
  return isTrue(Object.values(rows[0] ?? {})[0])
}
