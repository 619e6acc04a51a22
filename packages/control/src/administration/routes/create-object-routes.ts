import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { ConfigurationObject } from '@tanagerusher/state/configuration/configuration-object'
import { entrySchema, type Entry } from '@tanagerusher/state/configuration/entry'
import { groupSchema } from '@tanagerusher/state/configuration/group'
import { organisationSchema } from '@tanagerusher/state/configuration/organisation'
import { z } from 'zod'
import type { AdministrationContext } from '../administration-context.js'
import { listPage } from '../list-page.js'
import type { AuthenticatedOperator } from '../authenticated-operator.js'
import { requireObject } from '../require-object.js'
import type { Route } from '../route.js'
import type { RouteRequest } from '../route-request.js'
import { writeObject } from '../write-object.js'

type Kind = 'organisation' | 'entry' | 'group'

interface Resource { kind: Kind, path: string, title: string, schema: z.ZodType<Record<string, unknown>> }

const RESOURCES: Resource[] = [
  { kind: 'organisation', path: '/v1/organisations', title: 'organisation', schema: organisationSchema },
  { kind: 'entry', path: '/v1/entries', title: 'catalogue entry', schema: entrySchema },
  { kind: 'group', path: '/v1/groups', title: 'upstream group', schema: groupSchema }
]
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/

/** Creates the routes that read and change organisations, catalogue entries and upstream groups. */
export function createObjectRoutes (context: AdministrationContext): Route[] {
  return RESOURCES.flatMap((resource) => createRoutes(context, resource))
}

function createRoutes (context: AdministrationContext, { kind, path, title, schema }: Resource): Route[] {
  const { replica } = context
  const answer = z.object({ kind: z.literal(kind), name: z.string(), version: z.number().int(), value: schema })
  const access = kind === 'entry' ? 'team' : 'administrator'
  return [
    { method: 'GET', path, summary: `List each ${title}`, access: 'read', isList: true, answer, handle: async ({ query }) => listPage(replica.list(kind).map(describeObject), query) },
    {
      method: 'GET',
      path: `${path}/:name`,
      summary: `Read one ${title}`,
      access: 'read',
      answer,
      handle: async ({ params }) => createObjectResponse(requireObject(replica, kind, params.name ?? ''))
    },
    {
      method: 'PUT',
      path: `${path}/:name`,
      summary: `Create or replace one ${title}`,
      access,
      isConditional: true,
      body: schema,
      answer,
      handle: async (request) => await putObject(context, kind, request as RouteRequest<Record<string, unknown>>)
    },
    {
      method: 'DELETE',
      path: `${path}/:name`,
      summary: `Remove one ${title}`,
      access,
      isConditional: true,
      handle: async (request) => await deleteObject(context, kind, request)
    }
  ]
}

async function putObject (context: AdministrationContext, kind: Kind, request: RouteRequest<Record<string, unknown>>) {
  const name = request.params.name ?? ''
  const { body: value, operator } = request
  if (!NAME_PATTERN.test(name)) throw createInvalidError(`${kind}/${name}`, 'name', 'letters, digits, dot, underscore and hyphen are allowed, at most 63')
  if (kind === 'entry') checkEntry(context, operator, name, value as Entry)
  const expectedVersion = request.expectedVersion ?? 0
  const version = await writeObject(context, request, { action: 'put', kind, name, value: keepStoredPassword(context, kind, name, value), expectedVersion })
  return { version, status: expectedVersion === 0 && !request.query.dryRun ? 201 : 200, body: { ...describeObject({ kind, name, version, value } as ConfigurationObject), dryRun: request.query.dryRun } }
}

async function deleteObject (context: AdministrationContext, kind: Kind, request: RouteRequest<unknown>) {
  const name = request.params.name ?? ''
  const object = requireObject(context.replica, kind, name)
  if (object.kind === 'entry') checkOwner(request.operator, name, object.value.owner)
  else checkUnused(context, kind, name)
  await writeObject(context, request, { action: 'delete', kind, name, value: null, expectedVersion: request.expectedVersion ?? 0 })
  return { body: { kind, name, dryRun: request.query.dryRun } }
}

function checkEntry ({ replica }: AdministrationContext, operator: AuthenticatedOperator, name: string, value: Entry): void {
  const existing = replica.find('entry', name)
  if (existing?.kind === 'entry') checkOwner(operator, name, existing.value.owner)
  checkOwner(operator, name, value.owner)
  if (value.owner !== null && replica.find('organisation', value.owner) === undefined) throw createInvalidError(`entry/${name}`, 'owner', `there is no organisation ${value.owner}`)
  if (replica.find('group', value.group) === undefined) throw createInvalidError(`entry/${name}`, 'group', `there is no group ${value.group}`)
}

/** Rejects a change by a team unless its organisation owns the entry. A team cannot transfer an entry to another owner either. */
function checkOwner (operator: AuthenticatedOperator, name: string, owner: string | null): void {
  if (operator.role === 'administrator') return
  if (operator.organisation === undefined || owner !== operator.organisation) {
    throw TanagerusherError.create('operator-denied', { details: { operator: operator.name, action: `change entry ${name} of ${owner ?? 'all organisations'}` } })
  }
}

function checkUnused ({ replica }: AdministrationContext, kind: Kind, name: string): void {
  const referringEntry = replica.list('entry').find(({ value }) => kind === 'group' ? value.group === name : value.owner === name)
  if (referringEntry !== undefined) throw createInvalidError(`${kind}/${name}`, '(object)', `entry ${referringEntry.name} still uses it`)
}

/** Keeps the stored password when the value contains the placeholder, which responses contain instead of the password. */
function keepStoredPassword ({ replica }: AdministrationContext, kind: Kind, name: string, value: Record<string, unknown>): Record<string, unknown> {
  const existing = replica.find(kind, name)
  return kind === 'group' && value.password === HIDDEN_PASSWORD && existing?.kind === 'group' ? { ...value, password: existing.value.password } : value
}

const HIDDEN_PASSWORD = '(hidden)'

function describeObject ({ kind, name, version, value }: ConfigurationObject): { kind: string, name: string, version: number, value: Record<string, unknown> } {
  const { changeId, ...visibleFields } = value as Record<string, unknown>
  return { kind, name, version, value: kind === 'group' ? { ...visibleFields, password: HIDDEN_PASSWORD } : visibleFields }
}

function createObjectResponse (object: ConfigurationObject) {
  return { version: object.version, body: describeObject(object) }
}

function createInvalidError (object: string, path: string, found: string): TanagerusherError {
  return TanagerusherError.create('object-invalid', { details: { object, path, found } })
}
