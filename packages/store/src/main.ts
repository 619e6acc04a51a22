import { createLogger } from '@tanagerusher/runtime/log/create-logger'
import { runProgram } from '@tanagerusher/runtime/process/run-program'
import { StoreService } from './process/store-service.js'
import { storeSettingsSchema } from './settings/store-settings.js'

await runProgram({
  name: 'tanagerusher-store',
  description: "Stand-in for the platform's object API and host list",
  schema: storeSettingsSchema,
  start: async (settings) => {
    const logger = createLogger({ label: 'store', level: settings.logLevel })
    const service = await StoreService.start(settings)
    logger.info('store is ready', { address: settings.address, port: service.port, controlPort: service.controlPort })
    return service
  }
})
