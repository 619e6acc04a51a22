import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import type { AdministrationContext } from './administration-context.js'
import { buildOpenapi } from './build-openapi.js'
import { OperatorDirectory } from './operator-directory.js'
import type { AuthenticatedOperator } from './authenticated-operator.js'
import type { Route } from './route.js'
import type { RouteRequest } from './route-request.js'
import { createHostRoutes } from './routes/create-host-routes.js'
import { createKeyRoutes } from './routes/create-key-routes.js'
import { createObjectRoutes } from './routes/create-object-routes.js'
import { createOperatorRoutes } from './routes/create-operator-routes.js'
import { createSnapshotRoutes } from './routes/create-snapshot-routes.js'

const BODY_LIMIT_BYTES = 32 * 1024 * 1024
const DEFAULT_PAGE_SIZE = 100
const MAXIMUM_PAGE_SIZE = 1000
const ACCESS_BY_ROLE = { viewer: ['anyone', 'read'], team: ['anyone', 'read', 'team'], administrator: ['anyone', 'read', 'team', 'administrator'] }

/** Creates a fastify instance that serves the routes of the administration API. */
export function createAdministrationApp (context: AdministrationContext): FastifyInstance {
  const app = fastify({ bodyLimit: BODY_LIMIT_BYTES, exposeHeadRoutes: false })
  const directory = OperatorDirectory.create({ replica: context.replica, rootCredentialFile: context.settings.administration.rootCredentialFile })
  const routes: Route[] = [
    ...createObjectRoutes(context),
    ...createKeyRoutes(context),
    ...createHostRoutes(context),
    ...createOperatorRoutes(context, directory),
    ...createSnapshotRoutes(context)
  ]
  routes.push({ method: 'GET', path: '/v1/openapi.json', summary: 'This document', access: 'anyone', handle: async () => ({ body: buildOpenapi(routes) }) })
  app.removeAllContentTypeParsers()
  app.addContentTypeParser('application/json', { parseAs: 'string' }, parseJson)
  app.setErrorHandler(async (error, _, reply) => await sendError(reply, error))
  app.setNotFoundHandler(async (request, reply) => await sendError(reply, TanagerusherError.create('object-unknown', { details: { object: request.url } })))
  for (const route of routes) {
    app.route({ method: route.method, url: route.path, handler: async (request, reply) => await handleRequest(route, directory, request, reply) })
  }
  return app
}

async function handleRequest (route: Route, directory: OperatorDirectory, request: FastifyRequest, reply: FastifyReply): Promise<unknown> {
  const operator = authorise(route, directory, request)
  const response = await route.handle({ ...readRequest(route, request), operator })
  if (response.version !== undefined) void reply.header('etag', `"${response.version}"`)
  void reply.code(response.status ?? 200)
  return response.body
}

function authorise (route: Route, directory: OperatorDirectory, request: FastifyRequest): AuthenticatedOperator {
  if (route.access === 'anyone') return { name: 'anyone', role: 'viewer' }
  const operator = directory.authenticate(request.headers.authorization)
  if (operator === undefined) throw TanagerusherError.create('operator-unknown')
  if (!ACCESS_BY_ROLE[operator.role].includes(route.access)) {
    throw TanagerusherError.create('operator-denied', { details: { operator: operator.name, action: `${request.method} ${request.url}` } })
  }
  return operator
}

function readRequest (route: Route, request: FastifyRequest): Omit<RouteRequest<unknown>, 'operator'> {
  const query = request.query as Record<string, string | undefined>
  const limit = Number(query.limit ?? DEFAULT_PAGE_SIZE)
  if (!Number.isInteger(limit) || limit < 1 || limit > MAXIMUM_PAGE_SIZE) throw createInvalidError(request, 'limit', `must be 1 to ${MAXIMUM_PAGE_SIZE}`)
  const expectedVersion = readExpectedVersion(request)
  if (route.isConditional === true && expectedVersion === undefined) throw createInvalidError(request, 'If-Match', 'missing; send the entity tag of the version that the change is based on, or If-None-Match: * to create')
  return {
    params: request.params as Record<string, string>,
    query: { limit, after: query.after, dryRun: query.dryRun === 'true' },
    expectedVersion,
    body: parseBody(route, request)
  }
}

function readExpectedVersion (request: FastifyRequest): number | undefined {
  if (request.headers['if-none-match'] === '*') return 0
  const match = /^"(\d+)"$/.exec(request.headers['if-match'] ?? '')
  if (match !== null) return Number(match[1])
  if (request.headers['if-match'] !== undefined) throw createInvalidError(request, 'If-Match', 'not an entity tag of this API')
  return undefined
}

function parseBody (route: Route, request: FastifyRequest): unknown {
  if (route.body === undefined) return undefined
  const parsed = route.body.safeParse(request.body ?? undefined)
  if (parsed.success) return parsed.data
  const issue = parsed.error.issues[0]
  throw createInvalidError(request, issue?.path.join('.') || '(document)', issue?.message ?? 'invalid')
}

function parseJson (request: FastifyRequest, text: string | Buffer, done: (error: Error | null, body?: unknown) => void): void {
  try {
    done(null, text.length === 0 ? undefined : JSON.parse(String(text)))
  } catch (cause) {
    done(createInvalidError(request, '(document)', String(cause)))
  }
}

function createInvalidError (request: FastifyRequest, path: string, found: string): TanagerusherError {
  return TanagerusherError.create('object-invalid', { details: { object: `${request.method} ${request.url}`, path, found } })
}

async function sendError (reply: FastifyReply, error: unknown): Promise<FastifyReply> {
  const knownError = error instanceof TanagerusherError ? error : createUnexpectedError(error)
  return await reply.code(knownError.definition.httpStatus).send({ kind: knownError.kind, message: knownError.message, found: knownError.details, remedy: knownError.hint })
}

function createUnexpectedError (error: unknown): TanagerusherError {
  const { statusCode, message } = error as { statusCode?: number, message?: string }
  return statusCode !== undefined && statusCode < 500
    ? TanagerusherError.create('object-invalid', { details: { object: 'request', path: '(document)', found: message ?? 'invalid' } })
    : TanagerusherError.create('internal', { details: { reason: String(error) }, cause: error })
}
