import type { PlatformStore, StoredChange } from '@tanagerusher/coordination/common/platform-store'
import type { StoredObject } from '@tanagerusher/coordination/common/stored-object'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { Agent, request, type Dispatcher } from 'undici'
import { z } from 'zod'

interface CreateOptions {
  /** Base address of the object API, such as `http://127.0.0.1:7400`. */
  url: string
  /** Name under which the platform meters the calls. */
  caller: string
  /** Time after which a call without a response is aborted. For a watch, this is added to its own `timeoutMs`. */
  timeoutMs?: number
}

interface Call {
  method: 'GET' | 'PUT' | 'DELETE'
  path: string
  headers?: Record<string, string>
  body?: string
  timeoutMs?: number
}

interface StoreResponse {
  status: number
  body: unknown
}

const DEFAULT_TIMEOUT_MS = 2000

const objectSchema = z.looseObject({ kind: z.string(), name: z.string(), version: z.number().int(), value: z.unknown() })
const listSchema = z.looseObject({ version: z.number().int(), objects: z.array(objectSchema) })
const changeSchema = z.union([
  z.looseObject({ type: z.literal('put'), object: objectSchema }),
  z.looseObject({ type: z.literal('delete'), kind: z.string(), name: z.string(), version: z.number().int() })
])
const watchSchema = z.looseObject({ version: z.number().int(), changes: z.array(changeSchema) })
const hostsSchema = z.looseObject({
  hosts: z.array(z.looseObject({ host: z.string(), address: z.string(), port: z.number().int(), leaving: z.boolean() }))
})
const failureSchema = z.looseObject({
  message: z.string().default(''),
  details: z.looseObject({ found: z.union([z.number(), z.string()]).optional(), path: z.string().optional() }).default({})
})

/**
 * Client of the platform's object API. Calls without a response, or with status 429 or 5xx, reject with `store-unavailable`: a
 * write may have taken effect all the same, so read the object before retrying. Status 412 rejects with `version-conflict`.
 */
export class HttpPlatformStore implements PlatformStore {
  readonly #url: string
  readonly #caller: string
  readonly #timeoutMs: number
  readonly #agent: Agent

  private constructor ({ url, caller, timeoutMs = DEFAULT_TIMEOUT_MS }: CreateOptions) {
    this.#url = url.replace(/\/$/, '')
    this.#caller = caller
    this.#timeoutMs = timeoutMs
    this.#agent = new Agent({ connect: { timeout: timeoutMs }, headersTimeout: 0, bodyTimeout: 0 })
  }

  static create (options: CreateOptions): HttpPlatformStore {
    return new HttpPlatformStore(options)
  }

  async read (kind: string, name: string): Promise<StoredObject | null> {
    const response = await this.#call({ method: 'GET', path: formatPath(kind, name) })
    if (response.status === 404) return null
    return parseBody(objectSchema, this.#checkStatus(response, formatObjectName(kind, name), 0))
  }

  async list (kinds: string[]): Promise<{ version: number, objects: StoredObject[] }> {
    const path = `/v1/objects/${kinds.map(encodeURIComponent).join(',')}`
    return parseBody(listSchema, this.#checkStatus(await this.#call({ method: 'GET', path }), kinds.join(), 0))
  }

  async write (kind: string, name: string, value: unknown, expectedVersion: number): Promise<StoredObject> {
    const headers = { 'content-type': 'application/json', ...buildConditionHeaders(expectedVersion) }
    const response = await this.#call({ method: 'PUT', path: formatPath(kind, name), headers, body: JSON.stringify(value) })
    return parseBody(objectSchema, this.#checkStatus(response, formatObjectName(kind, name), expectedVersion))
  }

  async remove (kind: string, name: string, expectedVersion: number): Promise<void> {
    const headers = buildConditionHeaders(expectedVersion)
    this.#checkStatus(await this.#call({ method: 'DELETE', path: formatPath(kind, name), headers }), formatObjectName(kind, name), expectedVersion)
  }

  async watch (kinds: string[], afterVersion: number, timeoutMs: number): Promise<{ version: number, changes: StoredChange[] }> {
    const query = new URLSearchParams({ kinds: kinds.join(','), after: String(afterVersion), timeoutMs: String(timeoutMs) })
    const response = await this.#call({ method: 'GET', path: `/v1/watch?${query.toString()}`, timeoutMs: timeoutMs + this.#timeoutMs })
    return parseBody(watchSchema, this.#checkStatus(response, kinds.join(), 0))
  }

  async listHosts (): Promise<Array<{ host: string, address: string, port: number, leaving: boolean }>> {
    return parseBody(hostsSchema, this.#checkStatus(await this.#call({ method: 'GET', path: '/v1/hosts' }), 'hosts', 0)).hosts
  }

  /** Adds a host to the platform's list or updates its entry. */
  async registerHost (host: string, entry: { address: string, port: number, leaving: boolean }): Promise<void> {
    const headers = { 'content-type': 'application/json' }
    const path = `/v1/hosts/${encodeURIComponent(host)}`
    this.#checkStatus(await this.#call({ method: 'PUT', path, headers, body: JSON.stringify(entry) }), `hosts/${host}`, 0)
  }

  /** Removes a host from the platform's list. */
  async removeHost (host: string): Promise<void> {
    this.#checkStatus(await this.#call({ method: 'DELETE', path: `/v1/hosts/${encodeURIComponent(host)}` }), `hosts/${host}`, 0)
  }

  /** Aborts all calls in flight; they reject with `store-unavailable`. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async #call ({ method, path, headers = {}, body, timeoutMs = this.#timeoutMs }: Call): Promise<StoreResponse> {
    const signal = AbortSignal.timeout(timeoutMs)
    try {
      const response = await request(`${this.#url}${path}`, {
        method,
        headers: { ...headers, 'x-caller': this.#caller },
        body: body ?? null,
        dispatcher: this.#agent as Dispatcher,
        signal
      })
      return { status: response.statusCode, body: parseJson(await response.body.text()) }
    } catch (cause) {
      const reason = signal.aborted ? `no answer in ${timeoutMs} ms` : String((cause as Error).message)
      throw TanagerusherError.create('store-unavailable', { details: { reason }, cause })
    }
  }

  /** Returns the body of a successful response and throws a typed error for any other status. */
  #checkStatus ({ status, body }: StoreResponse, object: string, expected: number): unknown {
    if (status >= 200 && status < 300) return body
    const failure = failureSchema.safeParse(body)
    const { message, details } = failure.success ? failure.data : { message: '', details: { found: undefined, path: undefined } }
    if (status === 412) throw TanagerusherError.create('version-conflict', { details: { object, expected, found: details.found } })
    if (status === 429) throw TanagerusherError.create('store-unavailable', { details: { reason: 'call budget exceeded (429)' } })
    if (status >= 500) throw TanagerusherError.create('store-unavailable', { details: { reason: `status ${status} ${message}`.trim() } })
    throw TanagerusherError.create('object-invalid', { details: { object, path: details.path ?? '(document)', found: `status ${status} ${message}`.trim() } })
  }
}

function parseJson (text: string): unknown {
  return text === '' ? null : JSON.parse(text)
}

function parseBody<Schema extends z.ZodType> (schema: Schema, body: unknown): z.infer<Schema> {
  const parsed = schema.safeParse(body)
  if (parsed.success) return parsed.data
  throw TanagerusherError.create('store-unavailable', { details: { reason: `answer is not valid: ${parsed.error.issues[0]?.message ?? ''}` } })
}

function formatPath (kind: string, name: string): string {
  return `/v1/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`
}

function formatObjectName (kind: string, name: string): string {
  return `${kind}/${name}`
}

function buildConditionHeaders (expectedVersion: number): Record<string, string> {
  return expectedVersion === 0 ? { 'if-none-match': '*' } : { 'if-match': `"${expectedVersion}"` }
}
