interface EncodedRevision {
  /** Number of the store's history, which increases when the store is restored from a copy. */
  era: number
  /** The store's own counter within the era; -1 before the first read. */
  revision: number
}

/** 2^40 revisions are 87 years at 400 writes a second; 8,192 eras of them stay within the integers that a number represents exactly. */
const REVISIONS_PER_ERA = 2 ** 40
const ERA_LIMIT = 2 ** 13
const NONE = -1

/**
 * Revision of the store that orders all its histories: a store that is restored from a copy begins a new era, in which its own counter
 * goes back and gives revisions out again. A revision of a later era is higher than each of an earlier one.
 */
export const orderedRevision = {
  /** Returns undefined when the era or the counter is out of range. */
  decode ({ era, revision }: EncodedRevision): number | undefined {
    const isInRange = Number.isInteger(era) && era >= 0 && era < ERA_LIMIT && Number.isInteger(revision) && revision >= 0 && revision < REVISIONS_PER_ERA
    return isInRange ? era * REVISIONS_PER_ERA + revision : undefined
  },

  encode (revision: number): EncodedRevision {
    if (revision < 0) return { era: 0, revision: NONE }
    const era = orderedRevision.readEra(revision)
    return { era, revision: revision - era * REVISIONS_PER_ERA }
  },

  readEra: (revision: number): number => Math.floor(revision / REVISIONS_PER_ERA)
} as const
