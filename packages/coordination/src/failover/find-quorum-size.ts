/** Number of members that form a majority of a group with `members` members. */
export function findQuorumSize (members: number): number {
  return Math.floor(members / 2) + 1
}
