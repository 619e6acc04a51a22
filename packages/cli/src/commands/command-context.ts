import type { ApiClient } from '../client/api-client.js'

export interface CommandContext {
  client: ApiClient
  output: string
  /** Exit code of the program when nothing fails. */
  setExitCode: (code: number) => void
}

export type OpenContext = () => CommandContext
