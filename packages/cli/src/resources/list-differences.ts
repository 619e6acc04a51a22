import type { Difference } from './difference.js'

/** Lists the fields in which two values differ, with their paths. A field that one value lacks counts as `undefined` there. */
export function listDifferences (from: unknown, to: unknown, path = ''): Difference[] {
  if (!isObject(from) || !isObject(to)) return JSON.stringify(from) === JSON.stringify(to) ? [] : [{ path, from, to }]
  const names = [...new Set([...Object.keys(from), ...Object.keys(to)])].sort()
  return names.flatMap((name) => listDifferences(from[name], to[name], path === '' ? name : `${path}.${name}`))
}

function isObject (value: unknown): value is Record<string, unknown> {
  return value !== null && typeof value === 'object'
}
