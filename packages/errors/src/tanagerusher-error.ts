import ModernError from 'modern-errors'
import type { ErrorDefinition } from './catalogue/error-definition.js'
import type { ErrorKind } from './catalogue/error-kind.js'
import { errorsCatalogue } from './catalogue/errors-catalogue.js'

type Details = Readonly<Record<string, string | number | boolean | undefined>>

interface CreateOptions {
  details?: Details
  cause?: unknown
}

class CatalogueError extends ModernError {
  kind: ErrorKind = 'internal'
  details: Details = {}
  hint = ''

  static create (kind: ErrorKind, { details = {}, cause }: CreateOptions = {}): CatalogueError {
    const definition = errorsCatalogue[kind]
    const error = new TanagerusherError(formatText(definition.message, details), cause === undefined ? {} : { cause })
    error.kind = kind
    error.details = details
    error.hint = formatText(definition.hint, details)
    return error
  }

  get definition (): ErrorDefinition {
    return errorsCatalogue[this.kind]
  }
}

/** Error of a kind from the catalogue. `details` fill the message and the hint, and are sent along with the error between processes. */
export const TanagerusherError: typeof CatalogueError =
  ModernError.subclass('TanagerusherError', { custom: CatalogueError }) as unknown as typeof CatalogueError

export type TanagerusherError = CatalogueError

function formatText (text: string, details: Details): string {
  return text.replace(/\{(\w+)\}/g, (_, name: string) => String(details[name] ?? 'unknown'))
}
