import { z } from 'zod'

/** First message in both directions on every peer connection. The highest common protocol version is used. */
export const peerHello = {
  method: 'peer.hello',
  params: z.looseObject({
    host: z.string(),
    incarnation: z.string(),
    dataCentre: z.string(),
    region: z.string(),
    role: z.enum(['host', 'entry', 'pool', 'control', 'operator', 'load']),
    protocolVersions: z.array(z.number().int()).min(1)
  })
} as const

export type PeerHello = z.infer<typeof peerHello.params>
