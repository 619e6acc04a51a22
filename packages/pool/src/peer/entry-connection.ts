import { cancel } from '@tanagerusher/protocol/peer/cancel'
import { execute, type ExecuteParams } from '@tanagerusher/protocol/peer/execute'
import { executeChunk } from '@tanagerusher/protocol/peer/execute-chunk'
import { executeCredit } from '@tanagerusher/protocol/peer/execute-credit'
import { groupStatusNotification } from '@tanagerusher/protocol/peer/group-status'
import { probeFloor } from '@tanagerusher/protocol/peer/probe-floor'
import { release } from '@tanagerusher/protocol/peer/release'
import { watchGroups } from '@tanagerusher/protocol/peer/watch-groups'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { GroupStatus } from '@tanagerusher/state/group/group-status'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import type { DatabaseTask } from '../database/database-task.js'
import type { GroupTask } from '../group/group-task.js'

interface CreateOptions {
  id: string
  connection: PeerConnection
  /** Throws `unavailable` when the configuration has no such group or database. */
  findDatabase: (group: string, database: string) => DatabaseTask
  findGroup: (group: string) => GroupTask
  listDatabases: () => Iterable<DatabaseTask>
  /** Throws when the pool accepts no new work. */
  checkServing: () => void
  handleClosed: () => void
}

/** Peer connection of an entry, with its requests and watched groups. Its sessions end when the connection closes. */
export class EntryConnection {
  readonly #options: CreateOptions
  readonly #databaseByRequest = new Map<string, DatabaseTask>()
  #watchedGroups = new Set<string>()

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): EntryConnection {
    const entry = new EntryConnection(options)
    entry.#addMethods()
    void options.connection.closed.then(() => { entry.#handleClosed() })
    return entry
  }

  isWatching (group: string): boolean {
    return this.#watchedGroups.has(group)
  }

  sendStatus (status: GroupStatus): void {
    if (this.#watchedGroups.has(status.group)) this.#options.connection.notify(groupStatusNotification, status)
  }

  #addMethods (): void {
    const { connection } = this.#options
    connection.addMethod(execute, async (params) => await this.#execute(params))
    connection.addMethod(cancel, async ({ requestId }) => ({ cancelled: await this.#databaseByRequest.get(requestId)?.cancel(requestId) ?? false }))
    connection.addMethod(release, async ({ sessionId }) => {
      for (const database of this.#options.listDatabases()) database.release(sessionId)
      return {}
    })
    connection.addMethod(probeFloor, async ({ group, deadlineMs }) => {
      this.#options.checkServing()
      return { position: await this.#options.findGroup(group).probe(deadlineMs) }
    })
    connection.addMethod(watchGroups, async ({ groups }) => {
      this.#watchedGroups = new Set(groups)
      return { statuses: groups.flatMap((group) => this.#buildStatus(group) ?? []) }
    })
    connection.addNotification(executeCredit, ({ requestId, bytes }) => { this.#databaseByRequest.get(requestId)?.addCredit(requestId, bytes) })
  }

  async #execute (params: ExecuteParams): Promise<Awaited<ReturnType<DatabaseTask['execute']>>> {
    const { requestId } = params
    if (params.transaction !== 'continue') this.#options.checkServing()
    const database = this.#options.findDatabase(params.group, params.database)
    if (this.#databaseByRequest.has(requestId)) {
      throw TanagerusherError.create('protocol-violation', { details: { reason: `request ${requestId} is under way` } })
    }
    this.#databaseByRequest.set(requestId, database)
    try {
      return await database.execute({
        params,
        owner: this.#options.id,
        sendChunk: (sequence, frames) => { this.#options.connection.notify(executeChunk, { requestId, sequence, frames }) }
      })
    } finally {
      this.#databaseByRequest.delete(requestId)
    }
  }

  #buildStatus (group: string): GroupStatus | undefined {
    try {
      return this.#options.findGroup(group).buildStatus()
    } catch {
      return undefined
    }
  }

  #handleClosed (): void {
    this.#watchedGroups.clear()
    for (const database of this.#options.listDatabases()) database.releaseOwner(this.#options.id)
    this.#options.handleClosed()
  }
}
