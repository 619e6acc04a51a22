import { SqlError } from '../ledger/sql-error.js'

const DEFAULTS: Record<string, string> = {
  application_name: '',
  client_encoding: 'UTF8',
  datestyle: 'ISO, MDY',
  default_transaction_read_only: 'off',
  extra_float_digits: '1',
  integer_datetimes: 'on',
  intervalstyle: 'postgres',
  search_path: '"$user", public',
  server_encoding: 'UTF8',
  server_version: '16.0',
  standard_conforming_strings: 'on',
  statement_timeout: '0',
  timezone: 'UTC',
  transaction_isolation: 'read committed'
}

/** Run-time settings of one session: SET changes them, SHOW reads them and DISCARD ALL restores their defaults. */
export class SessionSettings {
  readonly #initial: Map<string, string>
  #values: Map<string, string>

  private constructor (initial: Map<string, string>) {
    this.#initial = initial
    this.#values = new Map(initial)
  }

  /** `startup` holds the parameters of the start-up packet, which become the defaults of the session. */
  static create (startup: ReadonlyMap<string, string>): SessionSettings {
    const initial = new Map(Object.entries(DEFAULTS))
    for (const [name, value] of [...startup, ...parseOptions(startup.get('options') ?? '')]) initial.set(name.toLowerCase(), value)
    initial.set('session_authorization', startup.get('user') ?? '')
    return new SessionSettings(initial)
  }

  get isReadOnly (): boolean {
    return ['on', 'true', 'yes', '1'].includes(this.#values.get('default_transaction_read_only')?.toLowerCase() ?? '')
  }

  /** @throws SqlError 42704 for a setting that does not exist. */
  read (name: string): string {
    const value = this.find(name)
    if (value === null) throw SqlError.create('42704', `unrecognized configuration parameter "${name}"`)
    return value
  }

  find (name: string): string | null {
    return this.#values.get(name) ?? null
  }

  write (name: string, value: string | null): void {
    if (value === null) this.reset(name)
    else this.#values.set(name, value)
  }

  reset (name: string): void {
    if (name === 'all') this.#values = new Map(this.#initial)
    else if (this.#initial.has(name)) this.#values.set(name, this.#initial.get(name) as string)
    else this.#values.delete(name)
  }
}

/** Parses the settings in the `options` parameter: `-c name=value` or `--name=value`, where a backslash escapes a space. */
function parseOptions (options: string): Array<[string, string]> {
  const tokens = options.match(/(?:\\.|\S)+/g) ?? []
  const assignments = tokens.join(' ').replace(/(?:^|\s)-c\s*/g, ' --').match(/--(?:\\.|\S)+/g) ?? []
  return assignments.flatMap((assignment): Array<[string, string]> => {
    const [, name, value] = /^--([\w.-]+)=(.*)$/s.exec(assignment) ?? []
    return name === undefined ? [] : [[name.replaceAll('-', '_'), (value ?? '').replace(/\\(.)/g, '$1')]]
  })
}
