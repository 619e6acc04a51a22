import { serviceClasses, type ServiceClass } from './service-class.js'

/** Returns the service class of a catalogue entry's priority; 0 is the most urgent. */
export function findServiceClass (priority: number): ServiceClass {
  return serviceClasses[Math.min(Math.max(0, priority), serviceClasses.length - 1)] as ServiceClass
}
