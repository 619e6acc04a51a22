import type { Catalogue } from '@tanagerusher/state/catalogue/catalogue'
import { computePermittedRegions } from './compute-permitted-regions.js'

interface Options {
  /** Catalogue in force at the owner of the database's connections. */
  catalogue: Catalogue | undefined
  /** Database name of the operation's entry; undefined when a host of an earlier version sent it. */
  entry: string | undefined
  organisation: string
  /** Version of the catalogue by which the sender chose the database. */
  decidedVersion: number | undefined
  /** Region of the database. */
  region: string | undefined
}

/**
 * Checks whether an operation that waited at the owner may still run at the database. An owner with the same or an older catalogue
 * keeps the sender's decision, since its own home regions may be outdated. The last known regions of a removed entry or
 * organisation permitted the database when the sender chose it, and continue to do so.
 */
export function isStillPermitted ({ catalogue, entry, organisation, decidedVersion, region }: Options): boolean {
  if (catalogue === undefined || entry === undefined || decidedVersion === undefined || catalogue.version <= decidedVersion) return true
  const permittedRegions = computePermittedRegions(catalogue.entries.get(entry)?.homeRegions ?? [], catalogue.organisations.get(organisation)?.homeRegions ?? [])
  return permittedRegions === undefined || permittedRegions.has(region ?? '')
}
