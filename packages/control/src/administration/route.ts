import type { z } from 'zod'
import type { AuthenticatedOperator } from './operator-directory.js'

export interface RouteRequest<Body> {
  operator: AuthenticatedOperator
  params: Record<string, string>
  query: { limit: number, after: string | undefined, dryRun: boolean }
  /** Version that the caller expects, from `If-Match` or `If-None-Match: *` (0); undefined without either. */
  expectedVersion: number | undefined
  body: Body
}

export interface RouteAnswer {
  status?: number
  /** Entity tag. */
  version?: number
  body: unknown
}

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
