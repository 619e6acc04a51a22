import type { History } from '../history/history.js'

interface OfferedLoad {
  operations: ReadonlyArray<{ organisation: string, startMs: number, statements: number, sqlState?: string | undefined }>
  organisations: History['organisations']
}

const RATE_EXCEEDED = '53400'

/**
 * Counts requests that were refused for the rate although the whole offered load of their organisation was within rate and
 * burst. The token bucket also charges refused requests, so an organisation that exceeds its rate has no request within it
 * until its load decreases. The debt is limited to one burst.
 */
export function measureFalseRejections ({ operations, organisations }: OfferedLoad): { inside: number, refused: number } {
  const total = { inside: 0, refused: 0 }
  for (const [name, { rate, burst }] of Object.entries(organisations)) {
    let tokens = burst
    let lastStartMs = -Infinity
    const offered = operations.filter(({ organisation }) => organisation === name).sort((left, right) => left.startMs - right.startMs)
    for (const { startMs, statements, sqlState } of offered) {
      tokens = Math.min(burst, tokens + Math.max(0, startMs - lastStartMs) * rate / 1000)
      lastStartMs = startMs
      tokens = Math.max(tokens - statements, -burst)
      if (tokens < 0) continue
      total.inside++
      if (sqlState === RATE_EXCEEDED) total.refused++
    }
  }
  return total
}
