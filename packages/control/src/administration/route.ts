import type { z } from 'zod'
import type { RouteRequest } from './route-request.js'
import type { RouteResponse } from './route-response.js'

/** One operation of the administration API. The OpenAPI document is built from all routes. */
export interface Route<Body = unknown> {
  method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  /** Path with `:name` parameters. */
  path: string
  summary: string
  /** Access that the operator's role must include. For `team`, the handler also checks which organisation owns the object. */
  access: 'anyone' | 'read' | 'team' | 'administrator'
  isConditional?: boolean
  isList?: boolean
  body?: z.ZodType<Body>
  answer?: z.ZodType
  handle: (request: RouteRequest<Body>) => Promise<RouteResponse>
}
