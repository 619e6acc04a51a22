import type { z } from 'zod'
import type { RouteRequest } from './route-request.js'
import type { RouteAnswer } from './route-answer.js'

/** One operation of the administration API. The OpenAPI document is made from these. */
export interface Route<Body = unknown> {
  method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  /** Path with `:name` parameters. */
  path: string
  summary: string
  /** Who may call it; `team` operators are checked further by the handler. */
  access: 'anyone' | 'read' | 'team' | 'administrator'
  isConditional?: boolean
  isList?: boolean
  body?: z.ZodType<Body>
  answer?: z.ZodType
  handle: (request: RouteRequest<Body>) => Promise<RouteAnswer>
}
