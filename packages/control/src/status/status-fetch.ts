import { z } from 'zod'
import { hostStatusSchema } from './host-status.js'

/** Sent by a control process to another one to read the status of its host, when an operator requests the status of the fleet. */
export const statusFetch = { method: 'status.fetch', params: z.looseObject({}), result: hostStatusSchema } as const
