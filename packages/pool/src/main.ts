import { runProgram } from '@tanagerusher/runtime/process/run-program'
import { PoolProcess } from './process/pool-process.js'
import { poolSettingsSchema } from './settings/pool-settings.js'

await runProgram({
  name: 'tanagerusher-pool',
  description: 'Upstream connections, fair queues and failover of the databases that this host owns',
  schema: poolSettingsSchema,
  start: async (settings) => await PoolProcess.start(settings)
})
