import { configurationUpdateSchema } from '@tanagerusher/state/configuration/configuration-update'

/** Notification that carries a configuration delta or snapshot: relay to control, control to entry and pool. */
export const configurationUpdateNotification = { method: 'configuration.update', params: configurationUpdateSchema } as const
