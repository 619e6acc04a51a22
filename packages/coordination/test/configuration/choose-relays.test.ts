import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import { chooseRelays } from '../../src/configuration/choose-relays.js'
import { listOwnerCandidates } from '../../src/membership/list-owner-candidates.js'

const WIDE_MBPS = 140
const NARROW_MBPS = 7
const HOSTS = 59
const WIDE_HOSTS = 12

function buildHost (index: number, linkMbps: number | undefined): HostRecord {
  return { host: `h${index}`, incarnation: 'i', address: '10.0.0.1', port: 1, dataCentre: 'a', region: 'r', linkMbps }
}

const mixed = Array.from({ length: HOSTS }, (_, index) => buildHost(index, index % 5 === 0 && index / 5 < WIDE_HOSTS ? WIDE_MBPS : NARROW_MBPS))

test('a large configuration reaches every host of a mixed fleet within the time that a change may take', () => {
  const configurationBits = 262_144 * 8
  const applyLimitSeconds = 5
  for (const relay of chooseRelays(mixed)) {
    const seconds = configurationBits * (HOSTS - 1) / ((relay.linkMbps ?? 0) * 1e6)
    assert.ok(seconds < applyLimitSeconds / 2, `${relay.host} needs ${seconds} s`)
  }
})

test('hosts that know the same records in another order choose the same relays, and a lost relay is replaced', () => {
  const chosen = chooseRelays(mixed).map(({ host }) => host)
  assert.deepEqual(chooseRelays([...mixed].reverse()).map(({ host }) => host), chosen)
  const after = chooseRelays(mixed.filter(({ host }) => host !== chosen[0])).map(({ host }) => host)
  assert.equal(after[0], chosen[1])
  assert.notEqual(after[1], chosen[0])
})

test('a host that does not write its bandwidth can be a relay', () => {
  assert.equal(chooseRelays([buildHost(1, undefined), buildHost(2, NARROW_MBPS), buildHost(3, NARROW_MBPS)])[0]?.host, 'h1')
})

test('databases are owned in proportion to the bandwidth of the hosts, so that no narrow link carries the answers of many', () => {
  const databases = 4000
  const owned = new Map<string, number>()
  for (let index = 0; index < databases; index++) {
    const owner = listOwnerCandidates({ id: `d${index}`, dataCentre: 'a' }, mixed, new Map())[0]?.host as string
    owned.set(owner, (owned.get(owner) ?? 0) + 1)
  }
  const totalMbps = mixed.reduce((sum, { linkMbps }) => sum + (linkMbps ?? 0), 0)
  const onNarrow = mixed.filter(({ linkMbps }) => linkMbps === NARROW_MBPS).reduce((sum, { host }) => sum + (owned.get(host) ?? 0), 0)
  const expected = databases * (HOSTS - WIDE_HOSTS) * NARROW_MBPS / totalMbps
  assert.ok(Math.abs(onNarrow - expected) < expected * 0.15, `${onNarrow} of ${databases} on narrow links, expected ${expected}`)
})
