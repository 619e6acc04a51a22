import { createHash } from 'node:crypto'

const PARTITIONS = 64

/** Returns the partition (0 to 63) whose budget home holds the token bucket of an organisation. */
export function computePartition (organisation: string): number {
  return createHash('md5').update(organisation).digest().readUInt16BE(0) % PARTITIONS
}
