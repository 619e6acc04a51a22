import { randomBytes } from 'node:crypto'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { createKeyVerifier } from '@tanagerusher/protocol/postgres/create-key-verifier'
import type { Key } from '@tanagerusher/state/configuration/key'
import { z } from 'zod'
import type { AdministrationContext } from '../administration-context.js'
import { listPage } from '../list-page.js'
import { requireObject } from '../require-object.js'
import type { Route } from '../route.js'
import type { RouteResponse } from '../route-response.js'
import type { RouteRequest } from '../route-request.js'
import { runChange } from '../../store/run-change.js'
import { writeObject } from '../write-object.js'

const KEY_BYTES = 32
const SALT_BYTES = 16

const keyTextSchema = z.string().regex(/^[\x21-\x7e]{16,256}$/, 'a key has 16 to 256 printable ASCII characters').optional()
  .describe('The key; a random one is made when absent. It is kept nowhere')
const issueSchema = z.object({ organisation: z.string().min(1), name: z.string().min(1).max(63).optional(), key: keyTextSchema })
const reissueSchema = z.object({ key: keyTextSchema }).prefault({})
const rotateSchema = z.object({
  key: keyTextSchema,
  overlapSeconds: z.number().nonnegative().default(86_400).describe('Time for which the former keys still work')
}).prefault({})
const keyDescriptionSchema = z.object({ name: z.string(), version: z.number().int(), organisation: z.string(), generation: z.number().int(), withdrawn: z.boolean(), expiresAt: z.string().optional() })
const issuedKeySchema = keyDescriptionSchema.extend({ key: z.string().describe('Shown this once') })

/** Creates the routes that list, issue, withdraw and rotate the keys of callers. */
export function createKeyRoutes (context: AdministrationContext): Route[] {
  const { replica } = context
  const routes = [
    defineRoute({ method: 'GET', path: '/v1/keys', summary: 'List keys, without verifiers', access: 'read', isList: true, answer: keyDescriptionSchema, handle: async ({ query }) => listPage(replica.list('key').map(({ name, version, value }) => describeKey(name, version, value)), query) }),
    defineRoute({ method: 'POST', path: '/v1/keys', summary: 'Issue a key', access: 'administrator', body: issueSchema, answer: issuedKeySchema, handle: async (request) => await issueKey(context, request) }),
    defineRoute({ method: 'GET', path: '/v1/keys/:name', summary: 'Read one key, without its verifier', access: 'read', answer: keyDescriptionSchema, handle: async ({ params }) => createKeyResponse(context, params.name ?? '') }),
    defineRoute({ method: 'POST', path: '/v1/keys/:name/withdraw', summary: 'Withdraw a key', access: 'administrator', answer: keyDescriptionSchema, handle: async (request) => await withdrawKey(context, request) }),
    defineRoute({ method: 'POST', path: '/v1/keys/:name/issue', summary: 'Issue a withdrawn key again, in a new generation', access: 'administrator', body: reissueSchema, answer: issuedKeySchema, handle: async (request) => await reissueKey(context, request) }),
    defineRoute({ method: 'POST', path: '/v1/organisations/:name/rotate-key', summary: 'Issue a new key; the former ones expire after the overlap', access: 'administrator', body: rotateSchema, answer: issuedKeySchema, handle: async (request) => await rotateKey(context, request) })
  ]
  return routes as Route[]
}

async function issueKey (context: AdministrationContext, request: RouteRequest<z.infer<typeof issueSchema>>): Promise<RouteResponse> {
  const { organisation, key } = request.body
  requireObject(context.replica, 'organisation', organisation)
  const name = request.body.name ?? `${organisation}-${randomBytes(4).toString('hex')}`
  return await writeKey(context, request, { name, organisation, generation: 1, expectedVersion: 0, key })
}

async function reissueKey (context: AdministrationContext, request: RouteRequest<z.infer<typeof reissueSchema>>): Promise<RouteResponse> {
  const name = request.params.name ?? ''
  const { version, value } = requireObject(context.replica, 'key', name)
  return await writeKey(context, request, { name, organisation: value.organisation, generation: value.generation + 1, expectedVersion: version, key: request.body.key })
}

async function withdrawKey (context: AdministrationContext, request: RouteRequest<unknown>): Promise<RouteResponse> {
  const name = request.params.name ?? ''
  const object = requireObject(context.replica, 'key', name)
  const expectedVersion = request.expectedVersion ?? object.version
  const value: Key = { ...object.value, withdrawn: true }
  const version = await writeObject(context, request, { action: 'withdraw', kind: 'key', name, value, expectedVersion })
  return { version, body: describeKey(name, version, value) }
}

async function rotateKey (context: AdministrationContext, request: RouteRequest<z.infer<typeof rotateSchema>>): Promise<RouteResponse> {
  const organisation = request.params.name ?? ''
  requireObject(context.replica, 'organisation', organisation)
  const previousKeys = context.replica.list('key').filter(({ value }) => value.organisation === organisation && !value.withdrawn && value.expiresAt === undefined)
  const response = await issueKey(context, { ...request, body: { organisation, key: request.body.key } })
  const expiresAt = new Date(Date.now() + request.body.overlapSeconds * 1000).toISOString()
  for (const { name, version, value } of previousKeys) {
    await writeObject(context, request, { action: 'expire', kind: 'key', name, value: { ...value, expiresAt }, expectedVersion: version })
  }
  return { ...response, body: { ...response.body as object, formerKeys: previousKeys.map(({ name }) => name), formerExpireAt: expiresAt } }
}

interface WriteKeyOptions { name: string, organisation: string, generation: number, expectedVersion: number, key: string | undefined }

async function writeKey (context: AdministrationContext, request: RouteRequest<unknown>, { name, organisation, generation, expectedVersion, key: requestedKey }: WriteKeyOptions): Promise<RouteResponse> {
  const key = requestedKey ?? randomBytes(KEY_BYTES).toString('base64url')
  const value: Key = { organisation, generation, withdrawn: false, ...createKeyVerifier({ key, salt: await findOrCreateSalt(context, organisation, request.query.dryRun) }) }
  const version = await writeObject(context, request, { action: 'issue', kind: 'key', name, value, expectedVersion })
  return { status: 201, version, body: { ...describeKey(name, version, value), ...(request.query.dryRun ? {} : { key }) } }
}

/**
 * Returns the salt of an organisation's keys. A log-in announces one salt for all of them, so the salt is stored by a conditional
 * create when the first key is issued. Two operators who issue keys at the same time get the same salt.
 */
async function findOrCreateSalt ({ replica, store }: AdministrationContext, organisation: string, isDryRun: boolean): Promise<string> {
  const existingKey = replica.list('key').find(({ value }) => value.organisation === organisation)
  if (existingKey !== undefined) return existingKey.value.salt
  const name = `salt.${organisation}`
  const stored = replica.find('fleet', name)?.value.salt ?? (await store.read('fleet', name) as { value?: { salt?: unknown } } | null)?.value?.salt
  if (typeof stored === 'string') return stored
  const salt = randomBytes(SALT_BYTES).toString('base64')
  if (isDryRun) return salt
  try {
    await runChange(store, { kind: 'fleet', name, value: { salt }, expectedVersion: 0, changeId: `salt ${salt}` })
    return salt
  } catch (error) {
    if (!(error instanceof TanagerusherError) || error.kind !== 'version-conflict') throw error
    return await findOrCreateSalt({ replica, store } as AdministrationContext, organisation, isDryRun)
  }
}

function createKeyResponse ({ replica }: AdministrationContext, name: string): RouteResponse {
  const { version, value } = requireObject(replica, 'key', name)
  return { version, body: describeKey(name, version, value) }
}

function describeKey (name: string, version: number, { organisation, generation, withdrawn, expiresAt }: Key): z.infer<typeof keyDescriptionSchema> {
  return { name, version, organisation, generation, withdrawn, ...(typeof expiresAt === 'string' ? { expiresAt } : {}) }
}

function defineRoute<Body> (route: Route<Body>): Route<Body> {
  return route
}
