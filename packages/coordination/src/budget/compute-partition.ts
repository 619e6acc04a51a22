import { createHash } from 'node:crypto'

const PARTITIONS = 64

/** Partition (0 to 63) whose budget home keeps the bucket of an organisation. */
export function computePartition (organisation: string): number {
  return createHash('md5').update(organisation).digest().readUInt16BE(0) % PARTITIONS
}
