import { createLogger } from '@tanagerusher/runtime/log/create-logger'
import { runProgram } from '@tanagerusher/runtime/process/run-program'
import { DatabaseService } from './process/database-service.js'
import { databaseSettingsSchema } from './settings/database-settings.js'

await runProgram({
  name: 'tanagerusher-database',
  description: 'Stand-in databases of one replicated group',
  schema: databaseSettingsSchema,
  start: async (settings) => {
    const logger = createLogger({ label: 'database', level: settings.logLevel, fields: { group: settings.group } })
    const service = await DatabaseService.start(settings)
    const databases = settings.members.flatMap(({ name }) => {
      const ports = service.findPorts(name)
      return ports === undefined ? [] : [{ name, ...ports }]
    })
    logger.info('databases are ready', { databases, controlPort: service.controlPort })
    return service
  }
})
