import type { UpstreamExecuteParams } from '@tanagerusher/protocol/peer/upstream-execute'
import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'
import type { Logger } from 'winston'
import type { PooledConnection } from './pooled-connection.js'
import type { PrimaryGuard } from './primary-guard.js'

interface CreateOptions {
  databaseId: string
  primary: PrimaryGuard
  /** Whether the database must not receive work. */
  isClosed: () => boolean
  logger: Logger
}

interface SendOptions { needsPrimary: boolean, isJoining: boolean }

interface SentCommands { answers: StatementResponse[], revision: number }

type FailedResponse = Exclude<StatementResponse, { type: 'done' }>

/** Sends the commands of one owner on its connections, and records from the responses what each connection holds. */
export class StatementSender {
  readonly #options: CreateOptions

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): StatementSender {
    return new StatementSender(options)
  }

  /**
   * Sends the commands in one batch. Returns undefined, and sends nothing, when the primary lease has ended, the database is closed, or
   * the database does not report the connection in the state that the commands need: in a transaction if they join one, else idle.
   */
  async send (pooled: PooledConnection, commands: UpstreamCommand[], timeoutMs: number, { needsPrimary, isJoining }: SendOptions): Promise<SentCommands | undefined> {
    const { primary, isClosed } = this.#options
    if (isClosed() || pooled.connection.transactionState !== (isJoining ? 'transaction' : 'idle')) return undefined
    if (!needsPrimary) return { answers: await Promise.all(pooled.connection.send(commands, timeoutMs)), revision: 0 }
    const check = primary.check(isJoining)
    if (check.type === 'refused') return undefined
    return { answers: await primary.track(pooled.connection.send(commands, timeoutMs)), revision: check.revision }
  }

  /**
   * Gives a connection the values and the prepared statement of a session, and waits until the database has confirmed them: a statement
   * that is sent behind a command that fails runs all the same. Returns undefined when the connection is ready, otherwise why it is not.
   */
  async applySetup (pooled: PooledConnection, params: UpstreamExecuteParams, timeoutMs: number): Promise<FailedResponse | undefined> {
    // `send` refuses the statement that would follow.
    if (this.#options.isClosed()) return undefined
    const commands = pooled.setup.listCommands(params.values, params.needed)
    if (commands.length === 0) return undefined
    return this.recordSetup(pooled, commands, await Promise.all(pooled.connection.send(commands, timeoutMs)), params)
  }

  /** Records the responses to the set-up. Returns the first failure as the response to the statement, which has not run; undefined when there was none. */
  recordSetup (pooled: PooledConnection, commands: UpstreamCommand[], answers: StatementResponse[], { session, operation }: UpstreamExecuteParams): FailedResponse | undefined {
    const { databaseId, logger } = this.#options
    for (const [position, command] of commands.entries()) pooled.setup.recordResponse(command, answers[position] as StatementResponse)
    const index = answers.findIndex(({ type }) => type !== 'done')
    if (index === -1) return undefined
    const answer = answers[index] as FailedResponse
    const reason = answer.type === 'lost' ? answer.reason : `${answer.failure}: ${answer.text}`
    const request = operation.type === 'run' ? operation.id : undefined
    logger.info('session setup failed, statement not sent', { request, session, database: databaseId, command: commands[index]?.type, reason })
    if (answer.type === 'lost') return answer
    // The statement itself can be retried whatever the reason, unless the transaction that it belongs to has lost its primary.
    return { type: 'failed', failure: answer.failure === 'not-primary' ? 'not-primary' : 'busy', text: `the database refused the session's values or prepared statement (${reason})`, position: answer.position }
  }

  /**
   * Turns the failure `unknown-statement` into one that is retried, because the prepared statement exists in the caller's session and
   * only the connection has lost it. Other responses are returned unchanged.
   */
  handleMissingStatement (pooled: PooledConnection, answer: StatementResponse, { session, operation }: UpstreamExecuteParams): StatementResponse {
    if (answer.type !== 'failed' || answer.failure !== 'unknown-statement') return answer
    const { databaseId, logger } = this.#options
    pooled.setup.clear()
    logger.warn('connection had lost a prepared statement', { request: operation.type === 'run' ? operation.id : undefined, session, database: databaseId })
    return { ...answer, failure: 'busy', text: 'the connection had lost the prepared statement' }
  }
}
