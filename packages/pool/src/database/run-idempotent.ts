import { setTimeout as wait } from 'node:timers/promises'
import { serialize } from 'pg-protocol'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import { Idempotency } from '@tanagerusher/coordination/outcome/idempotency'
import type { IdempotencyRecord } from '@tanagerusher/coordination/outcome/idempotency-record'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { ExecuteParams } from '@tanagerusher/protocol/peer/execute'
import { encodeErrorResponse } from '../upstream/encode-error-response.js'
import type { ErrorFields } from '../upstream/error-fields.js'
import { RowCollector } from '../upstream/row-collector.js'
import type { CollectedRows } from '../upstream/collected-rows.js'
import type { PooledConnection } from './pooled-connection.js'
import { ResultRelay } from './result-relay.js'
import type { RelayedResult } from './relayed-result.js'
import { runStatement } from './run-statement.js'
import type { StatementOutcome } from './statement-outcome.js'

interface RunOptions {
  connection: PooledConnection
  params: ExecuteParams
  idempotency: Idempotency
  deadline: number
  clock: Clock
}

interface Work extends RunOptions {
  key: string
  digest: string
}

const UNIQUE_VIOLATION = '23505'
const RECORD_POLL_INTERVAL_MS = 20

/**
 * Runs work with an idempotency key. The record of the key is inserted before the work in the same transaction, so that a
 * repeated request violates the unique key before it executes anything. The response is added to the record before the commit.
 */
export async function runIdempotent (options: RunOptions): Promise<StatementOutcome> {
  const { params, idempotency } = options
  const isTransaction = params.transaction === 'begin'
  const digest = idempotency.computeDigest({ organisation: params.organisation, entryName: params.entryName, isTransaction, frames: params.frames, statements: params.statements })
  // `default_transaction_read_only` has no effect on a transaction that has already begun.
  const switching = options.connection.switchReadOnly(false)
  if (switching !== undefined) await sendInternalMessages(options.connection, switching)
  const work = { ...options, digest, key: quote(`${params.organisation}/${params.idempotencyKey as string}`) }
  return isTransaction ? await beginTransaction(work) : await runAutocommit(work)
}

async function beginTransaction (work: Work): Promise<StatementOutcome> {
  const outcome = await run(work)
  if (outcome.status !== 'T') return outcome
  const inserted = await query(work.connection, buildInsert(work))
  if (inserted.error === undefined) return outcome
  if (inserted.error.code !== UNIQUE_VIOLATION) throw new Error(inserted.error.text)
  return await handleDuplicateKey(work)
}

async function runAutocommit (work: Work): Promise<StatementOutcome> {
  const [inserted, outcome] = await Promise.all([query(work.connection, `BEGIN; ${buildInsert(work)}`), run(work)])
  if (inserted.error?.code === UNIQUE_VIOLATION) return await handleDuplicateKey(work)
  // The statements of the caller ended the transaction that contains the record.
  if (outcome.status === 'I' && outcome.error === undefined) return { ...outcome, databaseStatus: await readStatus(work.connection) }
  if (outcome.status !== 'T') {
    await query(work.connection, 'ROLLBACK')
    if (inserted.error !== undefined) throw TanagerusherError.create('unavailable', { details: { group: work.params.group, reason: inserted.error.text } })
    return { ...outcome, status: 'I', isRejected: true }
  }
  return await commit(work, outcome)
}

async function commit (work: Work, outcome: StatementOutcome): Promise<StatementOutcome> {
  const { connection } = work
  const isRecorded = outcome.frames.length <= Idempotency.maximumResponseBytes
  const [, committed, status] = await Promise.all([
    isRecorded
      ? query(connection, `UPDATE tanagerusher_request SET response = '${outcome.frames.toString('base64')}' WHERE idempotency_key = ${work.key}`)
      : undefined,
    query(connection, 'COMMIT'),
    readStatus(connection)
  ])
  if (committed.error !== undefined) return await handleFailedCommit(work, outcome, committed.error)
  return { ...outcome, status: 'I', databaseStatus: status }
}

/** A failed commit has no effect. If a concurrent request with the same key committed first, its recorded outcome is returned. */
async function handleFailedCommit (work: Work, outcome: StatementOutcome, error: ErrorFields): Promise<StatementOutcome> {
  const record = await readRecord(work)
  if (record !== undefined) return await buildRecordedOutcome(work, record)
  return { ...outcome, frames: encodeErrorResponse(error), status: 'I', tags: [], error, isRejected: true }
}

/** Rolls the failed transaction back and returns the outcome from the existing record. */
async function handleDuplicateKey (work: Work): Promise<StatementOutcome> {
  await query(work.connection, 'ROLLBACK')
  return await buildRecordedOutcome(work, await waitForRecord(work))
}

async function buildRecordedOutcome (work: Work, record: IdempotencyRecord | undefined): Promise<StatementOutcome> {
  const isTransaction = work.params.transaction === 'begin'
  const decision = record === undefined ? undefined : work.idempotency.decide({ record, digest: work.digest, isTransaction })
  const details = { idempotencyKey: work.params.idempotencyKey }
  switch (decision?.type) {
    case 'answer': return { ...emptyResult, frames: Buffer.from(decision.response), databaseStatus: await readStatus(work.connection) }
    case 'already-run': throw TanagerusherError.create('transaction-already-run', { details })
    case 'conflict': throw TanagerusherError.create('idempotency-conflict', { details })
    default: throw TanagerusherError.create('unavailable', { details: { group: work.params.group, reason: 'the same work is under way' } })
  }
}

/** Waits until the deadline for the record, which becomes visible when the first request commits. */
async function waitForRecord (work: Work): Promise<IdempotencyRecord | undefined> {
  do {
    const record = await readRecord(work)
    if (record !== undefined) return record
    await wait(RECORD_POLL_INTERVAL_MS)
  } while (work.clock.readTime() < work.deadline)
  return undefined
}

async function readRecord ({ connection, key }: Work): Promise<IdempotencyRecord | undefined> {
  const { rows: [row], error } = await query(connection, `SELECT digest, response FROM tanagerusher_request WHERE idempotency_key = ${key}`)
  if (error !== undefined) throw new Error(error.text)
  if (row === undefined) return undefined
  return { digest: String(row.digest), response: row.response == null ? null : Buffer.from(row.response, 'base64') }
}

const emptyResult: Omit<RelayedResult, 'frames'> = { chunks: 0, status: 'I', tags: [], error: undefined, isRejected: false, hasParameterStatus: false }

async function run ({ connection, params }: Work): Promise<StatementOutcome> {
  const relay = ResultRelay.create({ upstream: connection.upstream, windowBytes: params.windowBytes })
  return await runStatement({ connection, params, readOnly: false, relay, withStatus: false })
}

async function readStatus (connection: PooledConnection): Promise<StatementOutcome['databaseStatus']> {
  return await connection.status.run(connection.upstream)
}

function buildInsert ({ key, digest }: Work): string {
  return `INSERT INTO tanagerusher_request (idempotency_key, digest) VALUES (${key}, '${digest}')`
}

function quote (text: string): string {
  return `'${text.replaceAll("'", "''")}'`
}

async function query (connection: PooledConnection, text: string): Promise<CollectedRows> {
  return await sendInternalMessages(connection, serialize.query(text))
}

async function sendInternalMessages (connection: PooledConnection, bytes: Uint8Array): Promise<CollectedRows> {
  return await new Promise((resolve, reject) => {
    connection.upstream.send(bytes, RowCollector.create((result) => {
      if ('closed' in result) reject(new Error(result.closed))
      else resolve(result)
    }))
  })
}
