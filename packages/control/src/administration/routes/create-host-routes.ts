import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { Group } from '@tanagerusher/state/configuration/group'
import { z } from 'zod'
import type { AdministrationContext } from '../administration-context.js'
import { requireObject } from '../require-object.js'
import type { Route } from '../route.js'
import type { RouteResponse } from '../route-response.js'
import type { RouteRequest } from '../route-request.js'
import { createShareRow } from '../../membership/create-share-row.js'
import { collectStatus } from '../../status/collect-status.js'
import { hostStatusSchema } from '../../status/host-status.js'
import { writeObject } from '../write-object.js'

const promoteSchema = z.object({ database: z.string().min(1).describe('Member of the group that should be the primary') })

/** Creates the routes for hosts and upstreams: status, drain, planned change of primary, share table. */
export function createHostRoutes (context: AdministrationContext): Route[] {
  const routes = [
    defineRoute({ method: 'GET', path: '/v1/status', summary: 'Hosts with the configuration version in force at each', access: 'read', answer: z.object({ version: z.number().int(), hosts: z.array(hostStatusSchema) }), handle: async () => ({ body: { version: context.replica.version, hosts: await collectStatus(context) } }) }),
    defineRoute({ method: 'POST', path: '/v1/hosts/:host/drain', summary: 'Ask a host to take no more work', access: 'administrator', handle: async (request) => await setDraining(context, request, true) }),
    defineRoute({ method: 'DELETE', path: '/v1/hosts/:host/drain', summary: 'Let a host take work again', access: 'administrator', handle: async (request) => await setDraining(context, request, false) }),
    defineRoute({ method: 'POST', path: '/v1/groups/:name/databases/:database/drain', summary: 'Mark a database as leaving: it gets no new work', access: 'administrator', handle: async (request) => await setLeaving(context, request, true) }),
    defineRoute({ method: 'DELETE', path: '/v1/groups/:name/databases/:database/drain', summary: 'Let a database take work again', access: 'administrator', handle: async (request) => await setLeaving(context, request, false) }),
    defineRoute({ method: 'POST', path: '/v1/groups/:name/promote', summary: 'Planned change of primary', access: 'administrator', body: promoteSchema, handle: async (request) => await setWantedPrimary(context, request) }),
    defineRoute({ method: 'GET', path: '/v1/share-table', summary: 'Hosts that own shares of all rates and bursts', access: 'read', handle: async () => ({ version: context.shareTable.version, body: { table: context.shareTable.value ?? null, isActive: context.shareTable.isActive() } }) }),
    defineRoute({ method: 'POST', path: '/v1/share-table/reset', summary: 'Replace the share table when a majority of its hosts is gone for good', access: 'administrator', handle: async (request) => await resetShareTable(context, request) })
  ]
  return routes as Route[]
}

async function setDraining (context: AdministrationContext, request: RouteRequest<unknown>, draining: boolean): Promise<RouteResponse> {
  const host = request.params.host ?? ''
  const name = `host.${host}`
  const object = context.replica.find('fleet', name)
  const isKnown = context.view.listMembers(context.clock.readTime()).some((member) => member.host === host)
  if (!isKnown && object === undefined) throw TanagerusherError.create('object-unknown', { details: { object: `host/${host}` } })
  const expectedVersion = object?.version ?? 0
  const version = await writeObject(context, request, { action: draining ? 'drain' : 'resume', kind: 'fleet', name, value: { ...object?.value, draining }, expectedVersion })
  return { version, body: { host, draining } }
}

async function setLeaving (context: AdministrationContext, request: RouteRequest<unknown>, leaving: boolean): Promise<RouteResponse> {
  const { database = '' } = request.params
  return await changeGroup(context, request, leaving ? 'drain' : 'resume', (group) => {
    requireDatabase(group, request.params.name ?? '', database)
    return { ...group, databases: group.databases.map((member) => member.name === database ? { ...member, leaving } : member) }
  })
}

async function setWantedPrimary (context: AdministrationContext, request: RouteRequest<z.infer<typeof promoteSchema>>): Promise<RouteResponse> {
  const { database } = request.body
  return await changeGroup(context, request, 'promote', (group) => {
    requireDatabase(group, request.params.name ?? '', database)
    return { ...group, wantedPrimary: database }
  })
}

async function changeGroup (context: AdministrationContext, request: RouteRequest<unknown>, action: string, change: (group: Group) => Group): Promise<RouteResponse> {
  const name = request.params.name ?? ''
  const object = requireObject(context.replica, 'group', name)
  const expectedVersion = request.expectedVersion ?? object.version
  const version = await writeObject(context, request, { action, kind: 'group', name, value: change(object.value), expectedVersion })
  return { version, body: { group: name, version } }
}

function requireDatabase (group: Group, name: string, database: string): void {
  if (group.databases.some((member) => member.name === database)) return
  throw TanagerusherError.create('object-unknown', { details: { object: `group/${name}/${database}` } })
}

/** Writes a table without previous rows. Such a table is active immediately; its shares are used after the growth wait. */
async function resetShareTable (context: AdministrationContext, request: RouteRequest<unknown>): Promise<RouteResponse> {
  const { shareTable, view, clock } = context
  const value = shareTable.createResetTable(view.listServing(clock.readTime()).map(createShareRow))
  const version = await writeObject(context, request, { action: 'reset', kind: 'fleet', name: 'share-table', value, expectedVersion: shareTable.version })
  return { version, body: { table: value } }
}

function defineRoute<Body> (route: Route<Body>): Route<Body> {
  return route
}
