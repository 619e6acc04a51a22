import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import { chooseRelays } from '../../src/configuration/choose-relays.js'
import { listOwnerCandidates } from '../../src/membership/list-owner-candidates.js'

const FAST_LINK_MBPS = 140
const SLOW_LINK_MBPS = 7
const HOSTS = 59
const FAST_HOSTS = 12

function buildHost (index: number, linkMbps: number | undefined): HostRecord {
  return { host: `h${index}`, incarnation: 'i', address: '10.0.0.1', port: 1, dataCentre: 'a', region: 'r', linkMbps }
}

const mixedHosts = Array.from({ length: HOSTS }, (_, index) => buildHost(index, index % 5 === 0 && index / 5 < FAST_HOSTS ? FAST_LINK_MBPS : SLOW_LINK_MBPS))

test('a relay sends a large configuration to every host of a fleet with fast and slow links within half the time limit of a change', () => {
  const configurationBits = 262_144 * 8
  const applyLimitSeconds = 5
  for (const relay of chooseRelays(mixedHosts)) {
    const seconds = configurationBits * (HOSTS - 1) / ((relay.linkMbps ?? 0) * 1e6)
    assert.ok(seconds < applyLimitSeconds / 2, `${relay.host} needs ${seconds} s`)
  }
})

test('hosts with the same records in a different order choose the same relays, and a lost relay is replaced', () => {
  const chosen = chooseRelays(mixedHosts).map(({ host }) => host)
  assert.deepEqual(chooseRelays([...mixedHosts].reverse()).map(({ host }) => host), chosen)
  const after = chooseRelays(mixedHosts.filter(({ host }) => host !== chosen[0])).map(({ host }) => host)
  assert.equal(after[0], chosen[1])
  assert.notEqual(after[1], chosen[0])
})

test('a host whose record has no bandwidth can be a relay', () => {
  assert.equal(chooseRelays([buildHost(1, undefined), buildHost(2, SLOW_LINK_MBPS), buildHost(3, SLOW_LINK_MBPS)])[0]?.host, 'h1')
})

test('hosts own databases in proportion to their link bandwidth, so that no slow link carries the responses of many databases', () => {
  const databases = 4000
  const owned = new Map<string, number>()
  for (let index = 0; index < databases; index++) {
    const owner = listOwnerCandidates({ id: `d${index}`, dataCentre: 'a' }, mixedHosts, new Map())[0]?.host as string
    owned.set(owner, (owned.get(owner) ?? 0) + 1)
  }
  const totalMbps = mixedHosts.reduce((sum, { linkMbps }) => sum + (linkMbps ?? 0), 0)
  const onSlowLinks = mixedHosts.filter(({ linkMbps }) => linkMbps === SLOW_LINK_MBPS).reduce((sum, { host }) => sum + (owned.get(host) ?? 0), 0)
  const expected = databases * (HOSTS - FAST_HOSTS) * SLOW_LINK_MBPS / totalMbps
  assert.ok(Math.abs(onSlowLinks - expected) < expected * 0.15, `${onSlowLinks} of ${databases} on slow links, expected ${expected}`)
})
