import { hostRecordSchema, type HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { StoreObject } from '../common/store-object.js'
import { promotionClaim, type PromotionClaim } from '../failover/promotion-claim.js'
import { fleetObjects } from './fleet-objects.js'

interface FleetObjects {
  hosts: Array<{ record: HostRecord, revision: number }>
  claims: Array<{ group: string, claim: PromotionClaim, revision: number }>
  /** Names of objects that cannot be parsed. */
  unreadable: string[]
}

/** Parses the objects of the fleet into host records and group claims. */
export function parseFleetObjects (objects: readonly StoreObject[]): FleetObjects {
  const parsed: FleetObjects = { hosts: [], claims: [], unreadable: [] }
  for (const { name, revision, value } of objects) {
    const group = fleetObjects.parseGroupName(name)
    const record = group === undefined ? hostRecordSchema.safeParse(value).data : undefined
    const claim = group === undefined ? undefined : promotionClaim.safeParse(value).data
    if (record !== undefined) parsed.hosts.push({ record, revision })
    else if (group !== undefined && claim !== undefined) parsed.claims.push({ group, claim, revision })
    else parsed.unreadable.push(name)
  }
  return parsed
}
