import { z } from 'zod'

/** Asks for the catalogue that a host knows, as the store holds it. */
export const catalogueFetch = {
  method: 'catalogue.fetch',
  params: z.object({}),
  result: z.object({ value: z.unknown() })
} as const
