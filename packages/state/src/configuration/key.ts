import { z } from 'zod'

/** SCRAM-SHA-256 verifier of a caller's key; the key itself is never stored. Binary fields are base64. */
export const keySchema = z.looseObject({
  organisation: z.string().min(1),
  generation: z.number().int().positive().describe('Rises each time the key is issued again'),
  withdrawn: z.boolean().default(false),
  salt: z.string(),
  iterations: z.number().int().positive().default(4096),
  storedKey: z.string(),
  serverKey: z.string()
})

export type Key = z.infer<typeof keySchema>
