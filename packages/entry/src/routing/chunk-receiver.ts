import type { ExecuteChunkParams } from '@tanagerusher/protocol/peer/execute-chunk'
import type { PoolLink } from './pool-link.js'

/** Receives the chunks of one result. */
export interface ChunkReceiver {
  receiveChunk(chunk: ExecuteChunkParams, link: PoolLink): void
}
