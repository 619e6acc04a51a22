import { request } from 'undici'

interface CallJsonOptions {
  method?: 'GET' | 'PUT' | 'POST' | 'DELETE'
  body?: unknown
  headers?: Record<string, string>
}

const TIMEOUT_MS = 8000

/** Calls an HTTP API with JSON bodies. Answers of any status are returned; a call without an answer rejects. */
export async function callJson (url: string, { method = 'GET', body, headers = {} }: CallJsonOptions = {}): Promise<{ status: number, body: unknown }> {
  const answer = await request(url, {
    method,
    headers: { ...headers, ...(body === undefined ? {} : { 'content-type': 'application/json' }) },
    body: body === undefined ? null : JSON.stringify(body),
    signal: AbortSignal.timeout(TIMEOUT_MS)
  })
  const text = await answer.body.text()
  return { status: answer.statusCode, body: text === '' ? null : parseBody(text) }
}

function parseBody (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
