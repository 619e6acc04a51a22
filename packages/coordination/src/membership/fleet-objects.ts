const HOST_PREFIX = 'host.'
const GROUP_PREFIX = 'group.'

/**
 * Kind and names of the fleet's own objects in the store. Host records and group claims share a kind, so that one confirmation
 * covers both: which hosts may use a primary, and which hosts must be contacted before it is replaced.
 */
export const fleetObjects = {
  kind: 'tanagerusher-fleet',

  formatHostName: (host: string): string => HOST_PREFIX + host,
  formatGroupName: (group: string): string => GROUP_PREFIX + group,
  parseHostName: (name: string): string | undefined => name.startsWith(HOST_PREFIX) ? name.slice(HOST_PREFIX.length) : undefined,
  parseGroupName: (name: string): string | undefined => name.startsWith(GROUP_PREFIX) ? name.slice(GROUP_PREFIX.length) : undefined
} as const
