import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { budgetRequest } from '@tanagerusher/protocol/peer/budget-request'
import { configurationUpdateNotification } from '@tanagerusher/protocol/peer/configuration-update'
import { controlSubscribe, type ControlSubscribeResult } from '@tanagerusher/protocol/peer/control-subscribe'
import { membershipUpdate, type MembershipUpdateParams } from '@tanagerusher/protocol/peer/membership-update'
import { statusReport } from '@tanagerusher/protocol/peer/status-report'
import type { ConfigurationUpdate } from '@tanagerusher/state/configuration/configuration-update'
import { openPeerConnection } from '@tanagerusher/transport/peer/open-peer-connection'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import type { ControlProcess } from '../src/process/control-process.js'
import { ControlFleet } from './fixtures/control-fleet.js'

interface FakeEntry { connection: PeerConnection, subscription: ControlSubscribeResult, updates: ConfigurationUpdate[], memberships: MembershipUpdateParams[] }

async function openEntry (control: ControlProcess, host: string): Promise<FakeEntry> {
  const connection = await openPeerConnection({ host: '127.0.0.1', port: control.port, hello: { host, incarnation: `${host}-entry`, dataCentre: 'd1', region: 'r1', role: 'entry', protocolVersions: [2] } })
  const updates: ConfigurationUpdate[] = []
  const memberships: MembershipUpdateParams[] = []
  connection.addNotification(configurationUpdateNotification, (update) => { updates.push(update) })
  connection.addNotification(membershipUpdate, (update) => { memberships.push(update) })
  const subscription = await connection.request(controlSubscribe, { role: 'entry', incarnation: `${host}-entry`, address: { host: '127.0.0.1', port: 5000 }, configurationVersion: 0 }, 2000)
  return { connection, subscription, updates, memberships }
}

describe('ControlProcess', () => {
  let fleet: ControlFleet
  beforeEach(() => { fleet = new ControlFleet() })
  afterEach(async () => { await fleet.close() })

  const readStatus = async (control: ControlProcess) => (await fleet.call(control, { path: '/v1/status' })).body as unknown as { version: number, hosts: Array<{ host: string, state: string, shareFraction: number, configurationVersion: number }> }
  const hasShares = async (control: ControlProcess, count: number) => (await readStatus(control)).hosts.filter(({ shareFraction }) => shareFraction > 0).length === count

  it('sends configuration and membership to entries and grants their budget requests at every host', async () => {
    const controls = [await fleet.start(), await fleet.start(), await fleet.start()]
    const [first, second, third] = controls as [ControlProcess, ControlProcess, ControlProcess]
    await fleet.waitFor(async () => await hasShares(first, 3), 'shares')
    const entry = await openEntry(second, 'h1')
    await fleet.create(first, '/v1/organisations/o1', { rate: 1000, burst: 300 })
    await fleet.waitFor(() => entry.updates.some(({ changes }) => changes.some((change) => change.type === 'put' && change.object.name === 'o1')), 'the configuration')
    await fleet.waitFor(() => entry.memberships.some(({ members, confirmedAgeMs, leaving }) => members.length === 3 && confirmedAgeMs < 5000 && !leaving), 'the membership')
    for (const control of controls) {
      const { connection } = await openEntry(control, 'elsewhere')
      await fleet.waitFor(async () => (await connection.request(budgetRequest, { organisation: 'o1', wanted: 10, demandPerSecond: 40 }, 2000)).tokens > 0, 'tokens')
      connection.close()
    }
    const watches = fleet.store.watches
    await fleet.waitFor(() => fleet.store.watches > watches, 'a watch of the relay')
    assert.equal((await readStatus(third)).hosts.length, 3)
    entry.connection.close()
  })

  // Guards against a host that cannot start, or starts with an outdated configuration, while the store is unavailable.
  it('fetches the newest configuration from peers when it starts during a store outage, and their responses keep it confirmed', async () => {
    const first = await fleet.start()
    await fleet.start()
    await fleet.waitFor(async () => await hasShares(first, 2), 'shares')
    await fleet.create(first, '/v1/organisations/o1', { rate: 10, burst: 5 })
    const { version } = await readStatus(first)
    fleet.store.isDown = true
    const lateControl = await fleet.start()
    await fleet.waitFor(async () => (await readStatus(lateControl)).version === version, 'the configuration')
    const entry = await openEntry(lateControl, 'h2')
    assert.equal(entry.subscription.configuration?.toVersion, version)
    await fleet.waitFor(() => (entry.memberships.at(-1)?.confirmedAgeMs ?? Infinity) < 2000, 'a confirmation')
    assert.equal((await fleet.create(lateControl, '/v1/organisations/o2', { rate: 10, burst: 5 })).body.kind, 'store-unavailable')
    entry.connection.close()
  })

  // Guards against a shutdown that interrupts requests, and against budgets lost when two hosts shut down at the same time.
  it('requests entries to drain at shutdown, waits for them, and hands the budgets over to the remaining hosts', async () => {
    const controls = [await fleet.start(), await fleet.start(), await fleet.start()]
    const [first, second, third] = controls as [ControlProcess, ControlProcess, ControlProcess]
    await fleet.waitFor(async () => await hasShares(first, 3), 'shares')
    await fleet.create(first, '/v1/organisations/o1', { rate: 1000, burst: 300 })
    const entry = await openEntry(second, 'h1')
    await entry.connection.request(statusReport, { role: 'entry', configurationVersion: 1, remaining: 1 }, 1000)
    const stopped = Promise.all([second.close(), third.close()])
    await fleet.waitFor(() => entry.memberships.some(({ leaving }) => leaving), 'the request to drain')
    await entry.connection.request(statusReport, { role: 'entry', configurationVersion: 1, remaining: 0 }, 1000)
    await stopped
    await entry.connection.closed
    const { connection } = await openEntry(first, 'h0')
    await fleet.waitFor(async () => (await connection.request(budgetRequest, { organisation: 'o1', wanted: 10, demandPerSecond: 40 }, 2000)).tokens > 0, 'tokens')
    connection.close()
  })

  it('lets operators drain a host and return it to service', async () => {
    const control = await fleet.start()
    const entry = await openEntry(control, 'h0')
    await fleet.call(control, { method: 'POST', path: '/v1/hosts/h0/drain' })
    await fleet.waitFor(() => entry.memberships.at(-1)?.leaving === true, 'the drain')
    await fleet.call(control, { method: 'DELETE', path: '/v1/hosts/h0/drain' })
    await fleet.waitFor(() => entry.memberships.at(-1)?.leaving === false, 'the end of the drain')
    entry.connection.close()
  })
})
