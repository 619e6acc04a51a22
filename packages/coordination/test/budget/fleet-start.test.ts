import assert from 'node:assert/strict'
import { test } from 'node:test'
import { chooseTokenWait } from '../../src/budget/choose-token-wait.js'
import { TokenExchange } from '../../src/budget/token-exchange.js'
import { TokenPool } from '../../src/budget/token-pool.js'

const HOSTS = 59
const LIMIT = { ratePerSecond: 20, burst: 20 }
const TARGET_LATENCY_MS = 600
const EXCHANGE_EVERY_MS = 250
/** The links to the home must be opened first. */
const FIRST_EXCHANGE_MS = 500
const STEP_MS = 10

interface Waiting { host: number, until: number }

/** Share of an organisation's operations that get a token when all hosts start at once and callers reach them evenly. */
function playFleetStart (part: number, findWait: (upMs: number) => number): { served: number, asked: number } {
  const hosts = Array.from({ length: HOSTS }, () => TokenExchange.create({ startedAt: 0, overdraft: 10 }))
  for (const host of hosts) host.updateLimits(new Map([['org', LIMIT]]), HOSTS, 0)
  const pool = TokenPool.create()
  let waiting: Waiting[] = []
  const figures = { served: 0, asked: 0 }
  const every = 1000 / (LIMIT.ratePerSecond * part)
  let due = 100 // callers are there before the hosts
  for (let now = 0; now < 5000; now += STEP_MS) {
    for (; due <= now && due < 1000; due += every) {
      const host = (figures.asked++ * 7) % HOSTS
      if (hosts[host]?.take('org', now) === true) figures.served++
      else waiting.push({ host, until: now + findWait(now) })
    }
    if (now >= FIRST_EXCHANGE_MS && now % EXCHANGE_EVERY_MS === 0) {
      for (const host of hosts) {
        const { deposits, wants } = host.takeOrder(now, true)
        pool.deposit('org', deposits['org'] ?? 0, LIMIT.burst)
        host.applyGrants({ org: pool.take('org', wants['org'] ?? 0) }, now)
      }
    }
    waiting = waiting.filter(({ host, until }) => {
      const isTaken = hosts[host]?.retryTake('org', now) === true
      if (isTaken) figures.served++
      return !isTaken && until > now
    })
  }
  return figures
}

test('an organisation inside its rate is served from the first second after all hosts started at once', () => {
  const { served, asked } = playFleetStart(0.6, (upMs) => chooseTokenWait({ upMs, targetLatencyMs: TARGET_LATENCY_MS }))
  assert.ok(served >= asked * 0.9, `${served} of ${asked}`)
})

test('an organisation over its rate never gets more than it accrues', () => {
  const { served } = playFleetStart(5, (upMs) => chooseTokenWait({ upMs, targetLatencyMs: TARGET_LATENCY_MS }))
  assert.ok(served <= LIMIT.ratePerSecond * 5 + 10, `${served}`)
})

test('a host that runs for long refuses what is over the rate soon', () => {
  assert.ok(chooseTokenWait({ upMs: 60_000, targetLatencyMs: TARGET_LATENCY_MS }) <= TARGET_LATENCY_MS / 2)
})
