import type { ServiceClass } from './service-class.js'

export interface QueuedRequest {
  id: string
  organisation: string
  weight: number
  serviceClass: ServiceClass
  /** Time by which the request must have finished. */
  deadline: number
  /** Maximum number of waiting requests of this organisation, including this one. */
  maximumQueued: number
}
