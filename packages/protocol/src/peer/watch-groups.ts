import { groupStatusSchema } from '@tanagerusher/state/group/group-status'
import { z } from 'zod'

/** Replaces the set of groups whose `group.status` is sent to the entry on this connection. */
export const watchGroups = {
  method: 'watch-groups',
  params: z.looseObject({ groups: z.array(z.string()) }),
  result: z.looseObject({ statuses: z.array(groupStatusSchema) })
} as const

export type WatchGroupsParams = z.infer<typeof watchGroups.params>
