import type { ApiClient } from '../client/api-client.js'

export interface CommandContext {
  client: ApiClient
  output: string
  /** Sets the exit code that the program returns when no command fails. */
  setExitCode: (code: number) => void
}

export type OpenContext = () => CommandContext
