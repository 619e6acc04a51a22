import { errorsCatalogue } from '@tanagerusher/errors/catalogue/errors-catalogue'
import type { ErrorKind } from '@tanagerusher/errors/catalogue/error-kind'
import { z } from 'zod'

const kinds = Object.keys(errorsCatalogue) as [ErrorKind, ...ErrorKind[]]

/** The `data` field of a JSON-RPC error: a kind of the errors catalogue with its details. */
export const peerErrorDataSchema = z.looseObject({
  kind: z.enum(kinds).catch('internal'),
  details: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()]))
})

export type PeerErrorData = z.infer<typeof peerErrorDataSchema>
