/** Classes of catalogue entries, most urgent first. */
export const serviceClasses = ['urgent', 'critical', 'interactive', 'deferred'] as const

export type ServiceClass = typeof serviceClasses[number]
