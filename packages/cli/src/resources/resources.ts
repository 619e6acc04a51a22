import { entrySchema } from '@tanagerusher/state/configuration/entry'
import { groupSchema } from '@tanagerusher/state/configuration/group'
import { organisationSchema } from '@tanagerusher/state/configuration/organisation'
import type { Resource } from './resource.js'

/** Kinds of object that `get`, `apply`, `diff` and `delete` handle, in the order in which they have to be applied. */
export const resources: Record<string, Resource> = {
  organisation: { path: '/v1/organisations', schema: organisationSchema },
  group: { path: '/v1/groups', schema: groupSchema },
  entry: { path: '/v1/entries', schema: entrySchema }
}
