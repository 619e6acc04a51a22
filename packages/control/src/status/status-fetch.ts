import { z } from 'zod'
import { hostStatusSchema } from './host-status.js'

/** A control asks another for the state of its host, on an operator's request. */
export const statusFetch = { method: 'status.fetch', params: z.looseObject({}), result: hostStatusSchema } as const
