import type { Position } from '@tanagerusher/state/position/position'
import { err, ok, type Result } from 'neverthrow'
import type { SessionTokenPayload } from './session-token-payload.js'

// Bounds the token's length. The next host has no floor for a group that was omitted and sends a floor probe for it.
const MAXIMUM_GROUPS = 32
const FORMAT = '1'

/**
 * Payload of a session token: format, organisation, and `group:term:position` for the most recently used groups.
 * The payload is not authenticated here. Callers must verify the token's signature before they use the decoded values.
 */
export const sessionToken = {
  encode: ({ organisation, floors }: SessionTokenPayload): string => {
    let text = `${FORMAT}|${encodeURIComponent(organisation)}`
    let groupsToSkip = floors.size - MAXIMUM_GROUPS
    for (const [group, { term, position }] of floors) {
      if (groupsToSkip-- > 0) continue
      text += `|${encodeURIComponent(group)}:${term}:${position}`
    }
    return text
  },

  decode: (text: string): Result<SessionTokenPayload, string> => {
    const [format, organisation, ...fields] = text.split('|')
    if (format !== FORMAT || organisation === undefined) return err('unknown format')
    if (fields.length > MAXIMUM_GROUPS) return err('too many groups')
    const floors = new Map<string, Position>()
    for (const field of fields) {
      const match = /^([^:]+):(\d{1,15}):(\d{1,15})$/.exec(field)
      if (match === null) return err('malformed floor')
      floors.set(decodeURIComponent(match[1] as string), { term: Number(match[2]), position: Number(match[3]) })
    }
    return ok({ organisation: decodeURIComponent(organisation), floors })
  }
} as const
