import type { History } from '../history/history.js'

interface Offered {
  operations: ReadonlyArray<{ organisation: string, startMs: number, statements: number, sqlState?: string | undefined }>
  organisations: History['organisations']
}

const RATE_EXCEEDED = '53400'

/**
 * Counts requests refused for their rate although the organisation's whole offered load was inside rate and burst. The
 * meter also takes what was refused, so an organisation that exceeds its rate has no request inside it until its load
 * falls; the debt is limited to one burst.
 */
export function measureFalseRejections ({ operations, organisations }: Offered): { inside: number, refused: number } {
  const total = { inside: 0, refused: 0 }
  for (const [name, { rate, burst }] of Object.entries(organisations)) {
    let level = burst
    let last = -Infinity
    const offered = operations.filter(({ organisation }) => organisation === name).sort((left, right) => left.startMs - right.startMs)
    for (const { startMs, statements, sqlState } of offered) {
      level = Math.min(burst, level + Math.max(0, startMs - last) * rate / 1000)
      last = startMs
      level = Math.max(level - statements, -burst)
      if (level < 0) continue
      total.inside++
      if (sqlState === RATE_EXCEEDED) total.refused++
    }
  }
  return total
}
