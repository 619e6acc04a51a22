import { request } from 'undici'
import { CommandFailure } from './command-failure.js'

interface CreateOptions {
  server: string
  /** `name:credential` of the operator. */
  credential: string | undefined
}

interface CallOptions {
  method?: 'GET' | 'PUT' | 'POST' | 'DELETE'
  path: string
  query?: Record<string, string | undefined>
  body?: unknown
  /** Version that the object must still have; 0 when it must not exist yet. */
  expectedVersion?: number | undefined
}

interface Failure { kind?: string, message?: string, remedy?: string }

/** Client of the administration API. A failed call throws a `CommandFailure` with the kind, message and remedy of the error response. */
export class ApiClient {
  readonly #options: CreateOptions

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): ApiClient {
    return new ApiClient(options)
  }

  async call<Body = unknown> ({ method = 'GET', path, query = {}, body, expectedVersion }: CallOptions): Promise<Body> {
    const url = new URL(path, this.#options.server)
    for (const [name, value] of Object.entries(query)) if (value !== undefined) url.searchParams.set(name, value)
    const headers = { ...this.#buildAuthorization(), ...buildCondition(expectedVersion), ...(body === undefined ? {} : { 'content-type': 'application/json' }) }
    const response = await request(url, { method, headers, body: body === undefined ? null : JSON.stringify(body) }).catch((cause: unknown) => {
      throw new CommandFailure('unreachable', `No answer from ${this.#options.server}: ${String((cause as Error).message)}.`, 'Check --server and that the control process runs; any host of the fleet will do.')
    })
    const text = await response.body.text()
    if (response.statusCode < 300) return (text === '' ? null : JSON.parse(text)) as Body
    throw createFailure(response.statusCode, text)
  }

  /** Reads all pages of a list and returns their items. */
  async list<Item> (path: string): Promise<Item[]> {
    const items: Item[] = []
    let after: string | undefined
    do {
      const page: { items: Item[], next: string | null } = await this.call({ path, query: { after, limit: '500' } })
      items.push(...page.items)
      after = page.next ?? undefined
    } while (after !== undefined)
    return items
  }

  #buildAuthorization (): Record<string, string> {
    const { credential } = this.#options
    return credential === undefined ? {} : { authorization: `Basic ${Buffer.from(credential).toString('base64')}` }
  }
}

function buildCondition (expectedVersion: number | undefined): Record<string, string> {
  if (expectedVersion === undefined) return {}
  return expectedVersion === 0 ? { 'if-none-match': '*' } : { 'if-match': `"${expectedVersion}"` }
}

function createFailure (status: number, text: string): CommandFailure {
  try {
    const { kind, message, remedy } = JSON.parse(text) as Failure
    return new CommandFailure(kind ?? 'internal', message ?? `status ${status}`, remedy ?? '')
  } catch {
    return new CommandFailure('internal', `The server answered with status ${status}.`, 'Check that --server is an administration API.')
  }
}
