import { chooseTokenWaitMs } from '@tanagerusher/coordination/budget/choose-token-wait-ms'
import type { CallerServices } from './caller-services.js'

interface Options {
  organisation: string
  /** Objective for the latency of the operation in ms. */
  targetLatencyMs: number
}

/** Takes a token for one operation of a caller. Returns false when there is none in time, or none before a stopping host must respond. */
export async function takeToken ({ budget, clock, findResponseDeadline }: CallerServices, { organisation, targetLatencyMs }: Options): Promise<boolean> {
  const timeLeftMs = Math.max(0, (findResponseDeadline() ?? Infinity) - clock.readTime())
  return await budget.take(organisation, Math.min(timeLeftMs, chooseTokenWaitMs({ uptimeMs: budget.readUptimeMs(), targetLatencyMs })))
}
