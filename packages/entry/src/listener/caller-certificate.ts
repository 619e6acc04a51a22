import { readFileSync, statSync } from 'node:fs'
import { createSecureContext, type SecureContext } from 'node:tls'
import type { Logger } from 'winston'

interface CreateOptions {
  certificateFile: string
  keyFile: string
  logger: Logger
}

/** Certificate for callers. It is read again when its files change; a certificate that cannot be read replaces nothing. */
export class CallerCertificate {
  readonly #options: CreateOptions
  #context: SecureContext
  #stamp: string

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#stamp = readStamp(options)
    this.#context = loadContext(options)
  }

  /** @throws when the files cannot be read or do not belong together */
  static create (options: CreateOptions): CallerCertificate {
    return new CallerCertificate(options)
  }

  get context (): SecureContext {
    return this.#context
  }

  /** Loads changed files. New connections use the new certificate, open ones keep theirs. */
  reload (): void {
    const { logger, certificateFile } = this.#options
    try {
      const stamp = readStamp(this.#options)
      if (stamp === this.#stamp) return
      this.#context = loadContext(this.#options)
      this.#stamp = stamp
      logger.info('certificate for callers loaded', { certificateFile })
    } catch (error) {
      logger.error('certificate for callers cannot be loaded; the earlier one stays', { certificateFile, reason: (error as Error).message })
    }
  }
}

function loadContext ({ certificateFile, keyFile }: CreateOptions): SecureContext {
  return createSecureContext({ cert: readFileSync(certificateFile), key: readFileSync(keyFile), minVersion: 'TLSv1.2' })
}

function readStamp ({ certificateFile, keyFile }: CreateOptions): string {
  return [certificateFile, keyFile].map((file) => {
    const { mtimeMs, size, ino } = statSync(file)
    return `${mtimeMs} ${size} ${ino}`
  }).join(',')
}
