import { createHash, randomBytes } from 'node:crypto'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { z } from 'zod'
import type { AdministrationContext } from '../administration-context.js'
import { listPage } from '../list-page.js'
import type { OperatorDirectory } from '../operator-directory.js'
import { operatorSchema } from '../operator.js'
import type { Route } from '../route.js'
import type { RouteResponse } from '../route-response.js'
import type { RouteRequest } from '../route-request.js'
import { writeObject } from '../write-object.js'

const CREDENTIAL_BYTES = 32
const publicOperatorSchema = operatorSchema.omit({ credentialHash: true })
const putOperatorSchema = publicOperatorSchema.refine(({ role, organisation }) => role !== 'team' || organisation !== undefined, { path: ['organisation'], message: 'a team needs its organisation' })

/** Creates the routes for operators, their roles and credentials. */
export function createOperatorRoutes (context: AdministrationContext, directory: OperatorDirectory): Route[] {
  return [
    {
      method: 'GET',
      path: '/v1/operators',
      summary: 'List operators',
      access: 'administrator',
      isList: true,
      answer: publicOperatorSchema,
      handle: async ({ query }) => listPage(Object.entries(directory.list()).map(([name, { credentialHash, ...shown }]) => ({ name, ...shown })), query)
    },
    {
      method: 'PUT',
      path: '/v1/operators/:name',
      summary: 'Create an operator, or give one a new role and credential; the credential is shown once',
      access: 'administrator',
      body: putOperatorSchema,
      answer: publicOperatorSchema.extend({ credential: z.string() }),
      handle: async (request) => await putOperator(context, directory, request as RouteRequest<z.infer<typeof putOperatorSchema>>)
    },
    {
      method: 'DELETE',
      path: '/v1/operators/:name',
      summary: 'Remove an operator',
      access: 'administrator',
      handle: async (request) => await deleteOperator(context, directory, request)
    }
  ]
}

async function putOperator (context: AdministrationContext, directory: OperatorDirectory, request: RouteRequest<z.infer<typeof putOperatorSchema>>): Promise<RouteResponse> {
  const name = request.params.name ?? ''
  if (!/^[a-z][a-z0-9._-]{0,62}$/.test(name) || name === 'root') throw TanagerusherError.create('object-invalid', { details: { object: `operator/${name}`, path: 'name', found: 'lower-case letters, digits, dot, underscore and hyphen are allowed; root is reserved' } })
  const credential = randomBytes(CREDENTIAL_BYTES).toString('base64url')
  const credentialHash = createHash('sha256').update(credential).digest('hex')
  const version = await writeOperators(context, request, 'put operator', { ...directory.list(), [name]: { ...request.body, credentialHash } })
  return { version, body: { name, ...request.body, ...(request.query.dryRun ? {} : { credential }) } }
}

async function deleteOperator (context: AdministrationContext, directory: OperatorDirectory, request: RouteRequest<unknown>): Promise<RouteResponse> {
  const name = request.params.name ?? ''
  const { [name]: removed, ...others } = directory.list()
  if (removed === undefined) throw TanagerusherError.create('object-unknown', { details: { object: `operator/${name}` } })
  const version = await writeOperators(context, request, 'delete operator', others)
  return { version, body: { name } }
}

async function writeOperators (context: AdministrationContext, request: RouteRequest<unknown>, action: string, operators: Record<string, unknown>): Promise<number> {
  const expectedVersion = context.replica.find('fleet', 'operators')?.version ?? 0
  return await writeObject(context, request, { action: `${action} ${request.params.name ?? ''}`, kind: 'fleet', name: 'operators', value: { operators }, expectedVersion })
}
