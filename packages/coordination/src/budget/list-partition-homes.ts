import { computeRendezvousOrder } from '../membership/compute-rendezvous-order.js'

const PARTITIONS = 64

/** Returns the budget home of each partition, indexed by partition: the first of `hosts` in rendezvous order. */
export function listPartitionHomes (hosts: readonly string[]): Array<string | undefined> {
  return Array.from({ length: PARTITIONS }, (_, partition) => computeRendezvousOrder(`partition ${partition}`, hosts)[0])
}
