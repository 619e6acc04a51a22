import type { Clock } from '@tanagerusher/coordination/common/clock'
import pg from 'pg'
import type { Operation } from '../history/operation.js'
import type { SeededRandom } from '../random/seeded-random.js'
import type { Work } from '../workload/work.js'
import { classifyFailure } from './classify-failure.js'
import type { SessionIdentity } from './session-identity.js'
import type { EntryAddress } from './entry-address.js'

const CONNECT_TIMEOUT_MS = 3000
/** Ends the wait for a response that was lost. Longer than the statement deadline of any catalogue entry. */
const RESPONSE_TIMEOUT_MS = 20_000
const RETRIES_MAXIMUM = 8
const RETRY_DELAY_MS = 100
const TOKEN_PARAMETER = 'tanagerusher.session'

interface RoamingSessionOptions {
  identity: SessionIdentity
  /** Entries that the session may connect to. The list may change during the run. */
  entries: readonly EntryAddress[]
  random: SeededRandom
  clock: Clock
  /** Probability that the session presents its token when it opens a connection. */
  tokenShare?: number
}

type RequestResult = { outcome: Operation['outcome'], sqlState?: string, message?: string, rows: Array<Record<string, unknown>> }

/** A caller's session that moves between hosts. It has at most one `pg` connection at a time. */
export class RoamingSession {
  readonly identity: SessionIdentity
  readonly #entries: readonly EntryAddress[]
  readonly #random: SeededRandom
  readonly #clock: Clock
  readonly #tokenShare: number
  #client: pg.Client | undefined
  #entry: EntryAddress | undefined
  #token: string | undefined

  private constructor ({ identity, entries, random, clock, tokenShare = 0.5 }: RoamingSessionOptions) {
    this.identity = identity
    this.#entries = entries
    this.#random = random
    this.#clock = clock
    this.#tokenShare = tokenShare
  }

  static create (options: RoamingSessionOptions): RoamingSession {
    return new RoamingSession(options)
  }

  /** Runs the work and returns the operation for the history. `dueMs` is the scheduled send time in an open loop. */
  async run (work: Work, id: string, dueMs?: number): Promise<Operation> {
    const startMs = this.#clock.readTime()
    let answer = await this.#attempt(work)
    for (let retry = 0; this.#isRetryable(work, answer) && retry < RETRIES_MAXIMUM; retry++) {
      await new Promise((resolve) => { setTimeout(resolve, RETRY_DELAY_MS * (retry + 1)) })
      const next = await this.#attempt(work)
      if (next.outcome === 'run') answer = next
    }
    return this.#buildOperation({ work, answer, id, startMs, dueMs })
  }

  /** Closes the connection. The next work connects to a host that is chosen at random. */
  async move (): Promise<void> {
    const client = this.#client
    this.#client = undefined
    await client?.end().catch(() => {})
  }

  async close (): Promise<void> {
    await this.move()
  }

  #isRetryable (work: Work, answer: RequestResult): boolean {
    return answer.outcome === 'unknown' && work.idempotencyKey !== undefined
  }

  async #attempt (work: Work): Promise<RequestResult> {
    let wasSent = false
    try {
      const client = await this.#connect()
      wasSent = true
      return work.kind === 'transaction' ? await this.#runTransaction(client, work) : await this.#runStatement(client, work)
    } catch (error) {
      this.#closeIfBroken(error)
      return { ...classifyFailure(error, wasSent), rows: [] }
    }
  }

  async #runStatement (client: pg.Client, work: Work): Promise<RequestResult> {
    const statement = work.statements[0] as Work['statements'][number]
    const result = await client.query(formatStatement(statement.text, work.idempotencyKey), statement.values)
    return { outcome: 'run', rows: result.rows }
  }

  /** Runs a transaction. If its COMMIT was not sent, it did not run, whatever the error of an earlier statement says. */
  async #runTransaction (client: pg.Client, work: Work): Promise<RequestResult> {
    const last = work.statements.length - 1
    let rows: RequestResult['rows'] = []
    for (const [index, { text, values }] of work.statements.entries()) {
      try {
        const result = await client.query(text, values)
        if (result.rows.length > 0) rows = result.rows
        if (index === last && !work.rollback && result.command !== 'COMMIT') return { outcome: 'not-run', message: `COMMIT ended as ${result.command}`, rows: [] }
      } catch (error) {
        this.#closeIfBroken(error)
        const failure = classifyFailure(error, index === last && !work.rollback)
        if (this.#client === client && index < last) await client.query('ROLLBACK').catch((cause: unknown) => { this.#closeIfBroken(cause) })
        return { ...failure, rows: [] }
      }
    }
    return { outcome: 'run', rows }
  }

  async #connect (): Promise<pg.Client> {
    if (this.#client !== undefined) return this.#client
    const entry = this.#random.choose(this.#entries)
    const presentsToken = this.#token !== undefined && this.#random.takeBoolean(this.#tokenShare)
    const client = new pg.Client({
      host: entry.address,
      port: entry.port,
      user: this.identity.organisation,
      password: this.identity.password,
      database: this.identity.entry,
      connectionTimeoutMillis: CONNECT_TIMEOUT_MS,
      query_timeout: RESPONSE_TIMEOUT_MS,
      ...(presentsToken ? { options: `-c ${TOKEN_PARAMETER}=${this.#token}` } : {})
    })
    this.#entry = entry
    client.on('error', () => { this.#removeClient(client) })
    client.on('end', () => { this.#removeClient(client) })
    const { connection } = client as unknown as { connection: NodeJS.EventEmitter }
    connection.on('parameterStatus', (message: { parameterName: string, parameterValue: string }) => {
      if (message.parameterName === TOKEN_PARAMETER) this.#token = message.parameterValue
    })
    await client.connect()
    this.#client = client
    return client
  }

  /** Closes the connection after an error that makes it unusable: one without a SQLSTATE or of severity FATAL. */
  #closeIfBroken (error: unknown): void {
    const { code, severity } = error as { code?: string, severity?: string }
    if (code !== undefined && severity !== 'FATAL' && /^[0-9A-Z]{5}$/.test(code)) return
    const client = this.#client
    this.#client = undefined
    void client?.end().catch(() => {})
  }

  #removeClient (client: pg.Client): void {
    if (this.#client === client) this.#client = undefined
  }

  #buildOperation ({ work, answer, id, startMs, dueMs }: { work: Work, answer: RequestResult, id: string, startMs: number, dueMs: number | undefined }): Operation {
    const { session, organisation, keyName, entry, group } = this.identity
    const { rows, ...outcome } = answer
    const foreignRow = rows.find((row) => work.kind === 'read' && row['session'] !== session)
    const responseMarker = foreignRow === undefined ? rows[0]?.['marker'] : `row of session ${String(foreignRow['session'])}`
    const isCheckable = answer.outcome === 'run' && responseMarker !== undefined
    return {
      id,
      session,
      organisation,
      key: keyName,
      host: this.#entry?.host ?? 'none',
      entry,
      group,
      kind: work.kind,
      startMs,
      endMs: this.#clock.readTime(),
      ...(dueMs === undefined ? {} : { dueMs }),
      ...outcome,
      statements: work.statements.length,
      writes: work.writes,
      rolledBack: work.rollback,
      acceptsStale: false,
      ...(work.kind === 'read' && answer.outcome === 'run' ? { observed: rows.map((row) => String(row['id'])) } : {}),
      ...(isCheckable ? { marker: work.marker, answerMarker: String(responseMarker) } : {}),
      ...(rows[0]?.['replica'] === undefined ? {} : { servedBy: rows[0]['replica'] === true ? 'replica' : 'primary' })
    }
  }
}

function formatStatement (text: string, idempotencyKey: string | undefined): string {
  return idempotencyKey === undefined ? text : `${text} /*idempotency_key='${encodeURIComponent(idempotencyKey)}'*/`
}
