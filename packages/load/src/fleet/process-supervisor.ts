import { spawn, type ChildProcess } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const STOP_TIMEOUT_MS = 10_000
const LOG_TAIL_BYTES = 4000

interface Managed {
  program: string
  settingsFile: string
  child: ChildProcess | undefined
  exited: Promise<number | null>
}

/**
 * Starts the programs of a test fleet as child processes and ends every one of them: on `close`, on an interrupt of
 * the launcher and on its exit. Settings and logs lie in a temporary directory that `close` removes.
 */
export class ProcessSupervisor {
  readonly directory = mkdtempSync(join(tmpdir(), 'tanagerusher-'))
  readonly #managed = new Map<string, Managed>()
  readonly #killAll = (): void => { for (const name of this.#managed.keys()) this.kill(name) }
  readonly #interrupt = (): void => {
    this.#killAll()
    rmSync(this.directory, { recursive: true, force: true })
    process.exit(130)
  }

  private constructor () {
    process.on('exit', this.#killAll)
    process.on('SIGINT', this.#interrupt)
    process.on('SIGTERM', this.#interrupt)
  }

  static create (): ProcessSupervisor {
    return new ProcessSupervisor()
  }

  /** Starts a program under a name. Its settings are kept for `restart`. */
  start (name: string, program: string, settings: object): void {
    const settingsFile = join(this.directory, `${name}.json`)
    writeFileSync(settingsFile, JSON.stringify(settings, null, 2))
    this.#spawn(name, program, settingsFile)
  }

  restart (name: string): void {
    const { program, settingsFile, child } = this.#find(name)
    if (child !== undefined) throw new Error(`process ${name} still runs; stop or kill it before restarting it`)
    this.#spawn(name, program, settingsFile)
  }

  /** Ends a process without giving it time, as a crash does. */
  kill (name: string): void {
    this.#find(name).child?.kill('SIGKILL')
  }

  /** Asks for a graceful shutdown and waits for it. Returns the exit code; null when the process had to be killed. */
  async stop (name: string): Promise<number | null> {
    const { child, exited } = this.#find(name)
    child?.kill('SIGTERM')
    const timer = setTimeout(() => { child?.kill('SIGKILL') }, STOP_TIMEOUT_MS)
    const code = await exited
    clearTimeout(timer)
    return code
  }

  /** Suspends a process, as a long pause does, until `resume`. */
  pause (name: string): void {
    this.#find(name).child?.kill('SIGSTOP')
  }

  resume (name: string): void {
    this.#find(name).child?.kill('SIGCONT')
  }

  isRunning (name: string): boolean {
    return this.#managed.get(name)?.child !== undefined
  }

  waitForExit (name: string): Promise<number | null> {
    return this.#find(name).exited
  }

  /** Process identifier, for measuring its processor time and memory. */
  findProcessId (name: string): number | undefined {
    return this.#find(name).child?.pid
  }

  /** Last part of what the process wrote, for the report of a failed start. */
  readLog (name: string): string {
    return readFileSync(join(this.directory, `${name}.log`), 'utf8').slice(-LOG_TAIL_BYTES)
  }

  async close (): Promise<void> {
    this.#killAll()
    await Promise.all([...this.#managed.values()].map(({ exited }) => exited))
    process.off('exit', this.#killAll)
    process.off('SIGINT', this.#interrupt)
    process.off('SIGTERM', this.#interrupt)
    if (process.env['TANAGERUSHER_KEEP_LOGS'] === undefined) rmSync(this.directory, { recursive: true, force: true })
  }

  #spawn (name: string, program: string, settingsFile: string): void {
    const log = openSync(join(this.directory, `${name}.log`), 'a')
    const child = spawn(process.execPath, [program, '--config', settingsFile], { stdio: ['ignore', log, log] })
    closeSync(log)
    const managed: Managed = { program, settingsFile, child, exited: Promise.resolve(null) }
    managed.exited = new Promise((resolve) => {
      child.once('exit', (code) => {
        managed.child = undefined
        resolve(code)
      })
      child.once('error', () => {
        managed.child = undefined
        resolve(null)
      })
    })
    this.#managed.set(name, managed)
  }

  #find (name: string): Managed {
    const managed = this.#managed.get(name)
    if (managed === undefined) throw new Error(`no process ${name} was started`)
    return managed
  }
}
