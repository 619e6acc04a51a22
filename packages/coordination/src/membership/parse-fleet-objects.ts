import { hostRecordSchema, type HostRecord } from '@tanagerusher/state/upstream/host-record'
import { formatSchemaIssue } from '../common/format-schema-issue.js'
import type { StoreObject } from '../common/store-object.js'
import { promotionClaim, type PromotionClaim } from '../failover/promotion-claim.js'
import { fleetObjects } from './fleet-objects.js'

interface FleetObjects {
  hosts: Array<{ record: HostRecord, revision: number }>
  claims: Array<{ group: string, claim: PromotionClaim, revision: number }>
  /** Objects that cannot be parsed. */
  unreadable: Array<{ name: string, revision: number, reason: string }>
}

/** Parses the objects of the fleet into host records and group claims. */
export function parseFleetObjects (objects: readonly StoreObject[]): FleetObjects {
  const parsed: FleetObjects = { hosts: [], claims: [], unreadable: [] }
  for (const { name, revision, value } of objects) {
    const group = fleetObjects.parseGroupName(name)
    if (group !== undefined) {
      const claim = promotionClaim.safeParse(value)
      if (claim.success) parsed.claims.push({ group, claim: claim.data, revision })
      else parsed.unreadable.push({ name, revision, reason: formatSchemaIssue(claim.error) })
      continue
    }
    const record = hostRecordSchema.safeParse(value)
    if (!record.success) parsed.unreadable.push({ name, revision, reason: formatSchemaIssue(record.error) })
    // A record under another host's name would stay when that host's record is removed.
    else if (fleetObjects.parseHostName(name) !== record.data.host) parsed.unreadable.push({ name, revision, reason: 'host: differs from the name of the object' })
    else parsed.hosts.push({ record: record.data, revision })
  }
  return parsed
}
