/** Up to this number of hosts each may hold a whole token of any rate, which is within the tolerance. Larger fleets hold as many together. */
export const MAX_SMALL_FLEET_HOSTS = 8
