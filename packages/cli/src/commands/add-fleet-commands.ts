import type { Command } from 'commander'
import { printResult } from '../output/print-result.js'
import type { CommandContext, OpenContext } from './command-context.js'

interface HostStatus {
  host: string
  state: string
  dataCentre: string
  configurationVersion: number
  confirmedAgeMs: number | null
  shareFraction: number
  partitions: number
  processes: Array<{ role: string, remaining: number | null, figures: Record<string, number>, organisations: Record<string, number> }>
}

interface FleetStatus { version: number, hosts: HostStatus[] }

const TOP_REFRESH_INTERVAL_MS = 2000
const CLEAR_SCREEN = '\x1b[2J\x1b[H'

/** Adds the commands `status`, `top`, `drain`, `resume` and `promote`. */
export function addFleetCommands (program: Command, openContext: OpenContext): void {
  program.command('status').description('hosts with the configuration version in force at each').action(async () => { await runStatus(openContext()) })
  program.command('top').description('statements per second by organisation, refreshed')
    .option('--once', 'print once and end', false)
    .action(async ({ once }: { once: boolean }) => { await runTop(openContext(), once) })
  for (const [name, method, description] of [['drain', 'POST', 'take no more work at a host, or at a database with --group'], ['resume', 'DELETE', 'take work again']] as const) {
    program.command(`${name} <name>`).description(description)
      .option('--group <group>', 'the name is a database of this group')
      .option('--dry-run', 'check, change nothing', false)
      .action(async (target: string, { group, dryRun }: { group?: string, dryRun: boolean }) => {
        const path = group === undefined ? `/v1/hosts/${encodeURIComponent(target)}/drain` : `/v1/groups/${encodeURIComponent(group)}/databases/${encodeURIComponent(target)}/drain`
        await runChange(openContext(), method, path, undefined, dryRun)
      })
  }
  program.command('promote <group> <database>').description('planned change of primary')
    .option('--dry-run', 'check, change nothing', false)
    .action(async (group: string, database: string, { dryRun }: { dryRun: boolean }) => {
      await runChange(openContext(), 'POST', `/v1/groups/${encodeURIComponent(group)}/promote`, { database }, dryRun)
    })
}

async function runChange ({ client, output }: CommandContext, method: 'POST' | 'DELETE', path: string, body: unknown, dryRun: boolean): Promise<void> {
  const result = await client.call<Record<string, unknown>>({ method, path, body, query: { dryRun: dryRun ? 'true' : undefined } })
  printResult(output, result, [result])
}

async function runStatus ({ client, output }: CommandContext): Promise<void> {
  const status = await client.call<FleetStatus>({ path: '/v1/status' })
  printResult(output, status, status.hosts.map(({ host, state, dataCentre, configurationVersion, confirmedAgeMs, shareFraction, partitions, processes }) => ({
    host,
    state,
    'data centre': dataCentre,
    version: configurationVersion,
    behind: Math.max(0, status.version - configurationVersion),
    'confirmed ms ago': confirmedAgeMs,
    share: shareFraction,
    partitions,
    processes: processes.map(({ role }) => role).join(',') || '-'
  })))
}

async function runTop (context: CommandContext, once: boolean): Promise<void> {
  for (;;) {
    const { hosts } = await context.client.call<FleetStatus>({ path: '/v1/status' })
    const totals = new Map<string, number>()
    for (const { processes } of hosts) {
      for (const { role, organisations } of processes) {
        if (role === 'entry') for (const [name, rate] of Object.entries(organisations)) totals.set(name, (totals.get(name) ?? 0) + rate)
      }
    }
    const rows = [...totals].sort((left, right) => right[1] - left[1]).map(([organisation, perSecond]) => ({ organisation, 'statements/s': perSecond }))
    if (!once && context.output !== 'json') process.stdout.write(CLEAR_SCREEN)
    printResult(context.output, rows, rows)
    if (once) return
    await new Promise((resolve) => setTimeout(resolve, TOP_REFRESH_INTERVAL_MS))
  }
}
