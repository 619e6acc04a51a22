import { computeRendezvousOrder } from '../membership/compute-rendezvous-order.js'

const PARTITIONS = 64

/** Budget home of each partition: the first of `hosts` in rendezvous order. Index is the partition. */
export function listPartitionHomes (hosts: readonly string[]): Array<string | undefined> {
  return Array.from({ length: PARTITIONS }, (_, partition) => computeRendezvousOrder(`partition ${partition}`, hosts)[0])
}
