import { readFileSync, statSync } from 'node:fs'
import { createSecureContext, type SecureContext } from 'node:tls'
import type { Logger } from 'winston'

interface CreateOptions {
  certificateFile: string
  keyFile: string
  logger: Logger
}

/** TLS certificate for callers. It is loaded again when its files change; when loading fails, the earlier certificate stays in use. */
export class CallerCertificate {
  readonly #options: CreateOptions
  #context: SecureContext
  #fileState: string

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#fileState = readFileState(options)
    this.#context = loadContext(options)
  }

  /** @throws when the files cannot be read or the key does not match the certificate */
  static create (options: CreateOptions): CallerCertificate {
    return new CallerCertificate(options)
  }

  get context (): SecureContext {
    return this.#context
  }

  /** Loads the files when they have changed. New connections use the new certificate; open connections keep theirs. */
  reload (): void {
    const { logger, certificateFile } = this.#options
    try {
      const fileState = readFileState(this.#options)
      if (fileState === this.#fileState) return
      this.#context = loadContext(this.#options)
      this.#fileState = fileState
      logger.info('certificate for callers loaded', { certificateFile })
    } catch (error) {
      logger.error('certificate for callers cannot be loaded; the earlier one stays', { certificateFile, reason: (error as Error).message })
    }
  }
}

function loadContext ({ certificateFile, keyFile }: CreateOptions): SecureContext {
  return createSecureContext({ cert: readFileSync(certificateFile), key: readFileSync(keyFile), minVersion: 'TLSv1.2' })
}

function readFileState ({ certificateFile, keyFile }: CreateOptions): string {
  return [certificateFile, keyFile].map((file) => {
    const { mtimeMs, size, ino } = statSync(file)
    return `${mtimeMs} ${size} ${ino}`
  }).join(',')
}
