import { backendMessages } from '@tanagerusher/protocol/postgres/backend-messages'
import { frontendTypes } from '@tanagerusher/protocol/postgres/frontend-types'
import type { Batch } from './batch.js'

const EMPTY_QUERY_RESPONSE = Buffer.from([0x49, 0, 0, 0, 4])
const BIND_COMPLETE = Buffer.from([0x32, 0, 0, 0, 4])
const NO_DATA = Buffer.from([0x6e, 0, 0, 0, 4])

/** Builds the backend messages for a batch that needs no upstream. `tag` is the command tag of the statements that it executes. */
export function buildLocalResponse (batch: Batch, tag: string): Buffer {
  if (batch.type === 'simple') return tag === '' ? EMPTY_QUERY_RESPONSE : backendMessages.encodeCommandComplete(tag)
  return Buffer.concat(batch.messageTypes.map((type) => buildResponseMessage(type, tag)))
}

function buildResponseMessage (type: number, tag: string): Buffer {
  if (type === frontendTypes.parse) return backendMessages.encodeParseComplete()
  if (type === frontendTypes.bind) return BIND_COMPLETE
  if (type === frontendTypes.describe) return NO_DATA
  return type === frontendTypes.close ? backendMessages.encodeCloseComplete() : backendMessages.encodeCommandComplete(tag)
}
