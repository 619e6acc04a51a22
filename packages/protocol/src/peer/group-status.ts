import { groupStatusSchema } from '@tanagerusher/state/group/group-status'

/** Notification from a pool to the entries that watch the group. */
export const groupStatusNotification = { method: 'group.status', params: groupStatusSchema } as const
