import { z } from 'zod'

/** Operator as stored in the object `fleet/operators`. Only a hash of the random credential is stored. */
export const operatorSchema = z.looseObject({
  role: z.enum(['administrator', 'team', 'viewer']).describe('`team` may change only the catalogue entries of its organisation; `viewer` only reads'),
  organisation: z.string().optional().describe('Organisation of a team'),
  credentialHash: z.string().describe('SHA-256 of the credential, hexadecimal')
})

export type Operator = z.infer<typeof operatorSchema>
