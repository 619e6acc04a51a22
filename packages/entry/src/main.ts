import { runProgram } from '@tanagerusher/runtime/process/run-program'
import { EntryProcess } from './entry-process.js'
import { entrySettingsSchema } from './settings/entry-settings.js'

await runProgram({
  name: 'tanagerusher-entry',
  description: 'Accepts callers, checks their keys and rates, and routes their statements to the pools.',
  schema: entrySettingsSchema,
  start: async (settings) => await EntryProcess.open({ settings })
})
