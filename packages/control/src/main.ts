import { createLogger } from '@tanagerusher/runtime/log/create-logger'
import { runProgram } from '@tanagerusher/runtime/process/run-program'
import { MonotonicClock } from '@tanagerusher/runtime/clock/monotonic-clock'
import { ControlProcess } from './process/control-process.js'
import { controlSettingsSchema } from './settings/control-settings.js'
import { LazyPlatformStore } from './store/lazy-platform-store.js'

await runProgram({
  name: 'tanagerusher-control',
  description: 'Control process of a host: membership, configuration, budgets, administration API',
  schema: controlSettingsSchema,
  start: async (settings) => await ControlProcess.start({
    settings,
    clock: MonotonicClock.create(),
    store: LazyPlatformStore.create({
      open: async () => {
        const { HttpPlatformStore } = await import('@tanagerusher/transport/store/http-platform-store')
        return HttpPlatformStore.create({ url: settings.storeUrl, caller: settings.host })
      }
    }),
    logger: createLogger({ label: 'control', level: settings.logLevel, fields: { host: settings.host, dataCentre: settings.dataCentre } })
  })
})
