import { createHash, timingSafeEqual } from 'node:crypto'
import { readFileSync } from 'node:fs'
import type { ConfigurationReplica } from '@tanagerusher/coordination/configuration/configuration-replica'
import { z } from 'zod'
import { operatorSchema, type Operator } from './operator.js'
import type { AuthenticatedOperator } from './authenticated-operator.js'

interface CreateOptions {
  replica: ConfigurationReplica
  rootCredentialFile?: string | undefined
}

const operatorsSchema = z.record(z.string(), operatorSchema)
const ROOT_OPERATOR = 'root'

/** Operators and their credentials: `root` from the credential file named in the settings, the others from the configuration. */
export class OperatorDirectory {
  readonly #options: CreateOptions

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): OperatorDirectory {
    return new OperatorDirectory(options)
  }

  list (): Record<string, Operator> {
    const parsed = operatorsSchema.safeParse(this.#options.replica.find('fleet', 'operators')?.value.operators)
    return parsed.success ? parsed.data : {}
  }

  /** Checks an `Authorization: Basic` header. Returns undefined unless it contains the name of an operator and the valid credential. */
  authenticate (header: string | undefined): AuthenticatedOperator | undefined {
    const nameAndCredential = header?.startsWith('Basic ') === true ? Buffer.from(header.slice(6), 'base64').toString() : ''
    const separatorIndex = nameAndCredential.indexOf(':')
    if (separatorIndex < 1) return undefined
    const name = nameAndCredential.slice(0, separatorIndex)
    const hash = hashCredential(nameAndCredential.slice(separatorIndex + 1))
    if (name === ROOT_OPERATOR) return this.#isRootCredential(hash) ? { name, role: 'administrator' } : undefined
    const operators = this.list()
    const operator = Object.hasOwn(operators, name) ? operators[name] : undefined
    if (operator === undefined || !isSameHash(hash, operator.credentialHash)) return undefined
    return { name, role: operator.role, ...(operator.organisation === undefined ? {} : { organisation: operator.organisation }) }
  }

  /** Reads the file at each call, so that it can be replaced while the process runs. */
  #isRootCredential (hash: string): boolean {
    const file = this.#options.rootCredentialFile
    if (file === undefined) return false
    const credential = readFileSync(file, 'utf8').trim()
    return credential !== '' && isSameHash(hash, hashCredential(credential))
  }
}

function hashCredential (credential: string): string {
  return createHash('sha256').update(credential).digest('hex')
}

function isSameHash (left: string, right: string): boolean {
  return left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right))
}
