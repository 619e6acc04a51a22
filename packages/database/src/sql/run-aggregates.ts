import type { Value } from '../ledger/value.js'
import type { Expression } from './expression.js'
import type { RunContext } from './run-context.js'
import type { Aggregate } from './aggregate.js'

interface Group {
  /** First row of the group; it supplies the columns that the statement groups by. */
  row: readonly Value[]
  states: Value[]
}

/** Combines rows into one row per group: the columns of its first row, then the results of the aggregates. */
export function runAggregates (rows: Iterable<readonly Value[]>, keys: readonly Expression[], aggregates: readonly Aggregate[], width: number, context: RunContext): Array<readonly Value[]> {
  const groups = new Map<string, Group>()
  const startStates = (): Value[] => aggregates.map(({ start }) => start())
  if (keys.length === 0) groups.set('', { row: new Array<Value>(width).fill(null), states: startStates() })
  for (const row of rows) {
    const key = keys.length === 0 ? '' : JSON.stringify(keys.map(({ evaluate }) => evaluate(row, context)))
    let group = groups.get(key)
    if (group === undefined) groups.set(key, group = { row, states: startStates() })
    addRow(group.states, aggregates, row, context)
  }
  return [...groups.values()].map(({ row, states }) => [...row, ...states])
}

function addRow (states: Value[], aggregates: readonly Aggregate[], row: readonly Value[], context: RunContext): void {
  for (let index = 0; index < aggregates.length; index++) {
    const { add, argument } = aggregates[index] as Aggregate
    states[index] = add(states[index] as Value, argument === null ? true : argument.evaluate(row, context))
  }
}
