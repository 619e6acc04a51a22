import { request } from 'undici'

interface CallJsonOptions {
  method?: 'GET' | 'PUT' | 'POST' | 'DELETE'
  body?: unknown
  headers?: Record<string, string>
}

const REQUEST_TIMEOUT_MS = 8000

/** Calls an HTTP API with JSON bodies. Returns responses of any status. Rejects when there is no response. */
export async function callJson (url: string, { method = 'GET', body, headers = {} }: CallJsonOptions = {}): Promise<{ status: number, body: unknown }> {
  const response = await request(url, {
    method,
    headers: { ...headers, ...(body === undefined ? {} : { 'content-type': 'application/json' }) },
    body: body === undefined ? null : JSON.stringify(body),
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS)
  })
  const text = await response.body.text()
  return { status: response.statusCode, body: text === '' ? null : parseBody(text) }
}

function parseBody (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
