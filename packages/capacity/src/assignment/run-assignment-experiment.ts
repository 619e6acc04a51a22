import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { AssignmentPolicy } from './assignment-policy.js'
import type { AssignmentResult } from './assignment-result.js'

interface RunOptions {
  policy: AssignmentPolicy
  hosts: number
  databases: number
  /** Number of hosts among which one database may be placed. */
  width: number
  seed: number
  /** Number of failures of a single host over which the result is averaged. */
  failures: number
}

/** Places databases on groups of `width` hosts, lets one host fail at a time, and counts the databases that move. */
export function runAssignmentExperiment ({ policy, hosts, databases, width, seed, failures }: RunOptions): AssignmentResult {
  const groupCount = Math.max(1, Math.floor(hosts / width))
  const perGroup = Math.round(databases / groupCount)
  const members = Array.from({ length: width }, (_, index) => `host-${index}`)
  const items = Array.from({ length: perGroup }, (_, index) => `database-${seed}-${index}`)
  const before = policy.choose(items, members)
  const random = xoroshiro128plus(seed)
  const totals = { moved: 0, lost: 0, takers: 0, mostTaken: 0, cpuMs: 0 }
  for (let round = 0; round < failures; round++) {
    const failed = members[uniformInt(random, 0, width - 1)] as string
    const started = process.cpuUsage()
    const after = policy.choose(items, members.filter((host) => host !== failed))
    const used = process.cpuUsage(started)
    const taken = countTaken(before, after, failed)
    totals.cpuMs += (used.user + used.system) / 1000
    totals.moved += before.filter((host, index) => host !== after[index]).length
    totals.lost += before.filter((host) => host === failed).length
    totals.takers += taken.size
    totals.mostTaken += Math.max(0, ...taken.values())
  }
  const loads = countByHost(before)
  return {
    policy: policy.name,
    width,
    maximumOverMean: Math.max(...loads.values()) / (perGroup / width),
    movedOverLost: totals.moved / totals.lost,
    takers: totals.takers / failures,
    mostTaken: totals.mostTaken / failures,
    cpuMsPerChange: totals.cpuMs / failures
  }
}

function countTaken (before: string[], after: string[], failed: string): Map<string, number> {
  return countByHost(after.filter((_, index) => before[index] === failed))
}

function countByHost (hosts: string[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const host of hosts) counts.set(host, (counts.get(host) ?? 0) + 1)
  return counts
}
