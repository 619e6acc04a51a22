import type { errorsCatalogue } from './errors-catalogue.js'

/** Key of an entry in the errors catalogue. */
export type ErrorKind = keyof typeof errorsCatalogue
