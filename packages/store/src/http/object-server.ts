import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import { z } from 'zod'
import type { CallRateLimiter } from '../budget/call-rate-limiter.js'
import type { CallStatistics } from '../budget/call-statistics.js'
import type { FaultState } from '../faults/fault-state.js'
import type { HostList } from '../hosts/host-list.js'
import type { ObjectTable } from '../objects/object-table.js'
import type { StoreSettings } from '../settings/store-settings.js'
import { readExpectedVersion } from './read-expected-version.js'
import type { WatchHub } from './watch-hub.js'

interface CreateOptions {
  settings: StoreSettings
  objects: ObjectTable
  hosts: HostList
  readBudget: CallRateLimiter
  writeBudget: CallRateLimiter
  statistics: CallStatistics
  faultState: FaultState
  watches: WatchHub
  readTime: () => number
}

interface ObjectPath { kind: string, name: string }

const watchQuerySchema = z.object({
  kinds: z.string().min(1).transform((kinds) => kinds.split(',')),
  after: z.coerce.number().int().nonnegative(),
  timeoutMs: z.coerce.number().nonnegative().default(30_000)
})

const hostBodySchema = z.object({
  address: z.ipv4(),
  port: z.number().int().min(1).max(65535),
  leaving: z.boolean().default(false)
})

const BODY_LIMIT_MARGIN_BYTES = 4096

/** HTTP server of the object API of the platform. The header `x-caller` names the caller in the statistics. */
export class ObjectServer {
  readonly #options: CreateOptions
  readonly #app: FastifyInstance

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#app = fastify({ bodyLimit: options.settings.maximumValueBytes + BODY_LIMIT_MARGIN_BYTES, forceCloseConnections: true })
    this.#addHooks()
    this.#addRoutes()
  }

  static create (options: CreateOptions): ObjectServer {
    return new ObjectServer(options)
  }

  get port (): number {
    return (this.#app.server.address() as AddressInfo).port
  }

  async listen (): Promise<void> {
    await this.#app.listen({ host: this.#options.settings.address, port: this.#options.settings.port })
  }

  async close (): Promise<void> {
    this.#options.watches.endAll()
    await this.#app.close()
  }

  #addHooks (): void {
    this.#app.addHook('onRequest', async (request, reply) => { await this.#admit(request, reply) })
    this.#app.addHook('onSend', async (request, reply, payload) => {
      await this.#delayResponse()
      if (reply.statusCode < 400 && this.#options.faultState.takeLostResponse(isWrite(request))) return reply.hijack().raw.destroy()
      if (typeof payload === 'string') this.#count(request, 'bytesOut', payload.length)
      return payload
    })
    this.#app.setErrorHandler((error, request, reply) => { this.#sendError(error, request, reply) })
  }

  #addRoutes (): void {
    this.#app.get('/v1/objects/:kind', (request) => this.#listObjects((request.params as { kind: string }).kind.split(',')))
    this.#app.get('/v1/objects/:kind/:name', (request, reply) => this.#readObject(request, reply))
    this.#app.put('/v1/objects/:kind/:name', (request, reply) => this.#writeObject(request, reply))
    this.#app.delete('/v1/objects/:kind/:name', (request) => this.#removeObject(request))
    this.#app.get('/v1/watch', (request, reply) => this.#watch(request, reply))
    this.#app.get('/v1/hosts', () => ({ hosts: this.#options.hosts.list(this.#options.readTime()) }))
    this.#app.put('/v1/hosts/:name', (request) => this.#registerHost(request))
    this.#app.delete('/v1/hosts/:name', (request) => this.#removeHost(request))
  }

  /** Applies injected outages and the rate limits before a call has any effect. */
  async #admit (request: FastifyRequest, reply: FastifyReply): Promise<void> {
    const { faultState, readBudget, writeBudget, readTime } = this.#options
    const isWriteCall = isWrite(request)
    this.#count(request, request.url.startsWith('/v1/watch') ? 'watches' : isWriteCall ? 'writes' : 'reads')
    if (faultState.current.outage === 'silent') await this.#waitForOutageEnd()
    if (faultState.current.outage === 'refuse') throw TanagerusherError.create('store-unavailable', { details: { reason: 'outage' } })
    if ((isWriteCall ? writeBudget : readBudget).take(readTime())) return
    this.#count(request, 'refused')
    await reply.code(429).header('retry-after', '1').send({ kind: 'store-unavailable', message: 'call budget exceeded' })
  }

  async #waitForOutageEnd (): Promise<void> {
    const { faultState } = this.#options
    await new Promise<void>((resolve) => {
      const unwatch = faultState.watch(() => {
        if (faultState.current.outage === 'silent') return
        unwatch()
        resolve()
      })
    })
  }

  async #delayResponse (): Promise<void> {
    const delayMs = this.#options.settings.answerDelayMs + this.#options.faultState.current.extraDelayMs
    if (delayMs > 0) await sleep(delayMs)
  }

  #listObjects (kinds: string[]): unknown {
    return { version: this.#options.objects.version, objects: this.#options.objects.list(kinds) }
  }

  async #readObject (request: FastifyRequest, reply: FastifyReply): Promise<unknown> {
    const { kind, name } = request.params as ObjectPath
    const object = this.#options.objects.read(kind, name)
    if (object === undefined) return await reply.code(404).send({ kind: 'object-unknown', message: `there is no object ${kind}/${name}` })
    reply.header('etag', `"${object.version}"`)
    return object
  }

  #writeObject (request: FastifyRequest, reply: FastifyReply): unknown {
    const { kind, name } = request.params as ObjectPath
    const { settings, objects, watches } = this.#options
    const size = Number(request.headers['content-length'] ?? 0)
    this.#count(request, 'bytesIn', size)
    if (size > settings.maximumValueBytes) throw createObjectError(`${kind}/${name}`, 'value', `${size} bytes, over ${settings.maximumValueBytes}`)
    const object = objects.write(kind, name, request.body ?? null, readExpectedVersion(request.headers, `${kind}/${name}`))
    watches.notify(kind)
    reply.header('etag', `"${object.version}"`)
    return object
  }

  #removeObject (request: FastifyRequest): unknown {
    const { kind, name } = request.params as ObjectPath
    const version = this.#options.objects.remove(kind, name, readExpectedVersion(request.headers, `${kind}/${name}`))
    this.#options.watches.notify(kind)
    return { version }
  }

  async #watch (request: FastifyRequest, reply: FastifyReply): Promise<unknown> {
    const query = watchQuerySchema.safeParse(request.query)
    if (!query.success) throw createObjectError('watch', query.error.issues[0]?.path.join('.') ?? '', query.error.issues[0]?.message ?? '')
    const { kinds, after, timeoutMs } = query.data
    const { objects, faultState, settings } = this.#options
    if (objects.findChanges(kinds, after).length === 0) await this.#waitForChange(reply, kinds, Math.min(timeoutMs, settings.maximumWatchMs))
    if (faultState.current.outage !== 'none') throw TanagerusherError.create('store-unavailable', { details: { reason: 'outage' } })
    const changes = objects.findChanges(kinds, after)
    return { version: objects.version, changes: faultState.applyWatchFaults(changes) }
  }

  async #waitForChange (reply: FastifyReply, kinds: string[], timeoutMs: number): Promise<void> {
    const { statistics, watches } = this.#options
    const abort = new AbortController()
    const handleClose = (): void => { abort.abort() }
    reply.raw.once('close', handleClose)
    statistics.updateWaitingWatches(1)
    await watches.wait(kinds, timeoutMs, abort.signal)
    statistics.updateWaitingWatches(-1)
    reply.raw.off('close', handleClose)
  }

  #registerHost (request: FastifyRequest): unknown {
    const host = (request.params as { name: string }).name
    const body = hostBodySchema.safeParse(request.body)
    if (!body.success) throw createObjectError(`hosts/${host}`, body.error.issues[0]?.path.join('.') ?? '', body.error.issues[0]?.message ?? '')
    this.#options.hosts.register({ host, ...body.data }, this.#options.readTime())
    return { host, ...body.data }
  }

  #removeHost (request: FastifyRequest): unknown {
    const host = (request.params as { name: string }).name
    this.#options.hosts.remove(host, this.#options.readTime())
    return { host }
  }

  #sendError (error: unknown, request: FastifyRequest, reply: FastifyReply): void {
    if (error instanceof TanagerusherError) {
      if (error.kind === 'version-conflict') this.#count(request, 'conflicts')
      void reply.code(error.definition.httpStatus).send({ kind: error.kind, message: error.message, details: error.details })
      return
    }
    const { statusCode = 500, message } = error as { statusCode?: number, message: string }
    void reply.code(statusCode).send({ kind: statusCode < 500 ? 'object-invalid' : 'internal', message })
  }

  #count (request: FastifyRequest, counter: Parameters<CallStatistics['add']>[1], amount = 1): void {
    const caller = request.headers['x-caller']
    this.#options.statistics.add(typeof caller === 'string' ? caller : request.ip, counter, amount)
  }
}

function isWrite (request: FastifyRequest): boolean {
  return request.method === 'PUT' || request.method === 'DELETE'
}

function createObjectError (object: string, path: string, found: string): TanagerusherError {
  return TanagerusherError.create('object-invalid', { details: { object, path, found } })
}
