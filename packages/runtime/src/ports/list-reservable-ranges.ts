import { readFileSync } from 'node:fs'

/** Both ends are included. */
interface PortRange { first: number, last: number }

const EPHEMERAL_RANGE_FILE = '/proc/sys/net/ipv4/ip_local_port_range'
/** Covers the defaults of Linux (32768 to 60999) and of BSD and macOS (49152 to 65535), for systems without the file. */
const DEFAULT_EPHEMERAL_RANGE: PortRange = { first: 32_768, last: 65_535 }
/** Many services have their default port below. */
const LOWEST_PORT = 12_000
const HIGHEST_PORT = 65_535

/**
 * Returns the ports from which tests may reserve: those that the kernel does not give to outgoing connections. A port that it
 * does give can be occupied while its program is restarted, even by a client that dials this very port and connects to itself.
 */
export function listReservableRanges (file = EPHEMERAL_RANGE_FILE): PortRange[] {
  const { first, last } = readEphemeralRange(file)
  return [
    { first: LOWEST_PORT, last: Math.min(HIGHEST_PORT, first - 1) },
    { first: Math.max(LOWEST_PORT, last + 1), last: HIGHEST_PORT }
  ].filter((range) => range.first <= range.last)
}

function readEphemeralRange (file: string): PortRange {
  try {
    const match = /^(\d+)\s+(\d+)\s*$/.exec(readFileSync(file, 'utf8'))
    return match === null ? DEFAULT_EPHEMERAL_RANGE : { first: Number(match[1]), last: Number(match[2]) }
  } catch {
    return DEFAULT_EPHEMERAL_RANGE
  }
}
