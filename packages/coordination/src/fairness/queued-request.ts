import type { ServiceClass } from './service-class.js'

export interface QueuedRequest {
  id: string
  organisation: string
  weight: number
  serviceClass: ServiceClass
  /** Time by which the request must have finished. */
  deadline: number
  /** Requests of this organisation that may wait, this one included. */
  maximumQueued: number
}
