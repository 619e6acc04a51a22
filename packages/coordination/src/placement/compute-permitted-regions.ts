/**
 * Returns the regions in which an operation may run, from the home regions of its entry and its organisation; undefined: any. The
 * set is empty when both have home regions and share none: the operation may then run nowhere.
 */
export function computePermittedRegions (entryRegions: readonly string[], organisationRegions: readonly string[]): ReadonlySet<string> | undefined {
  if (entryRegions.length === 0 && organisationRegions.length === 0) return undefined
  if (entryRegions.length === 0) return new Set(organisationRegions)
  return new Set(organisationRegions.length === 0 ? entryRegions : entryRegions.filter((region) => organisationRegions.includes(region)))
}
