import type { ReadCandidate } from './read-candidate.js'

/** Inputs of the choice for one database that change with the load. */
export type DatabaseLoad = Pick<ReadCandidate, 'distanceMs' | 'waitMs' | 'serviceMs' | 'serviceWeight' | 'isBehind' | 'isAvoided'>
