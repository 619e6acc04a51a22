import type { SessionCommand } from './parsed-statement.js'

type Rule = [pattern: RegExp, build: (match: RegExpExecArray) => SessionCommand]

const RULES: Rule[] = [
  [/^(?:begin|start\s+transaction)(?:\s+(?:work|transaction))?((?:\s*,?\s*(?:isolation\s+level\s+(?:serializable|repeatable\s+read|read\s+committed|read\s+uncommitted)|read\s+only|read\s+write|not\s+deferrable|deferrable))*)$/i,
    ([, modes]) => buildBegin(modes ?? '')],
  [/^(?:commit|end)(?:\s+(?:work|transaction))?$/i, () => ({ type: 'commit' })],
  [/^(?:rollback|abort)(?:\s+(?:work|transaction))?$/i, () => ({ type: 'rollback' })],
  [/^set\s+session\s+characteristics\s+as\s+transaction\s+read\s+(only|write)$/i,
    ([, mode]) => ({ type: 'set', name: 'default_transaction_read_only', value: mode?.toLowerCase() === 'only' ? 'on' : 'off' })],
  [/^set\s+(?:local\s+)?transaction\s+read\s+(only|write)$/i,
    ([, mode]) => ({ type: 'set transaction', readOnly: mode?.toLowerCase() === 'only' })],
  [/^set\s+(?:session\s+|local\s+)?time\s+zone\s+(.+)$/is, ([, value]) => ({ type: 'set', name: 'timezone', value: parseSetting(value ?? '') })],
  [/^set\s+(?:session\s+|local\s+)?([\w.]+)\s*(?:=|\s+to\s)\s*(.+)$/is,
    ([, name, value]) => ({ type: 'set', name: (name ?? '').toLowerCase(), value: parseSetting(value ?? '') })],
  [/^reset\s+([\w.]+)$/i, ([, name]) => ({ type: 'reset', name: (name ?? '').toLowerCase() })],
  [/^show\s+([\w.]+)$/i, ([, name]) => ({ type: 'show', name: (name ?? '').toLowerCase() })],
  [/^show\s+transaction\s+isolation\s+level$/i, () => ({ type: 'show', name: 'transaction_isolation' })],
  [/^discard\s+(?:all|plans|sequences|temp|temporary)$/i, () => ({ type: 'discard' })],
  [/^deallocate\s+(?:prepare\s+)?(?:all|"?(\w+)"?)$/i, ([, name]) => ({ type: 'deallocate', name: name ?? null })]
]

/** Parses a session command such as BEGIN or SET; returns undefined for any other text. */
export function parseSessionCommand (text: string): SessionCommand | undefined {
  for (const [pattern, build] of RULES) {
    const match = pattern.exec(text)
    if (match !== null) return build(match)
  }
  return undefined
}

function buildBegin (modes: string): SessionCommand {
  if (/read\s+only/i.test(modes)) return { type: 'begin', writeable: 'read only' }
  if (/read\s+write/i.test(modes)) return { type: 'begin', writeable: 'read write' }
  return { type: 'begin' }
}

/** Returns the value of SET without quotes, or null for DEFAULT. */
function parseSetting (text: string): string | null {
  const value = text.trim()
  if (value.toLowerCase() === 'default') return null
  return value.startsWith("'") ? value.slice(1, -1).replaceAll("''", "'") : value
}
