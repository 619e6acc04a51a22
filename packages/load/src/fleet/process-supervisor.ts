import { spawn, type ChildProcess } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const STOP_TIMEOUT_MS = 10_000
const LOG_TAIL_BYTES = 4000

interface ManagedProcess {
  program: string
  settingsFile: string
  child: ChildProcess | undefined
  exitCode: Promise<number | null>
}

/**
 * Starts the programs of a test fleet as child processes. Ends all of them on `close`, on SIGINT or SIGTERM, and when the
 * current process exits. Settings and logs are in a temporary directory, which `close` removes unless
 * TANAGERUSHER_KEEP_LOGS is set.
 */
export class ProcessSupervisor {
  readonly directory = mkdtempSync(join(tmpdir(), 'tanagerusher-'))
  readonly #processes = new Map<string, ManagedProcess>()
  readonly #killAll = (): void => { for (const name of this.#processes.keys()) this.kill(name) }
  readonly #handleInterrupt = (): void => {
    this.#killAll()
    rmSync(this.directory, { recursive: true, force: true })
    process.exit(130)
  }

  private constructor () {
    process.on('exit', this.#killAll)
    process.on('SIGINT', this.#handleInterrupt)
    process.on('SIGTERM', this.#handleInterrupt)
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

  /** Ends a process with SIGKILL, which has the effect of a crash. */
  kill (name: string): void {
    this.#find(name).child?.kill('SIGKILL')
  }

  /**
   * Requests a graceful shutdown and waits for the exit. Kills the process after STOP_TIMEOUT_MS. Returns the exit code, or
   * null when a signal ended the process.
   */
  async stop (name: string): Promise<number | null> {
    const { child, exitCode } = this.#find(name)
    child?.kill('SIGTERM')
    const timer = setTimeout(() => { child?.kill('SIGKILL') }, STOP_TIMEOUT_MS)
    const code = await exitCode
    clearTimeout(timer)
    return code
  }

  /** Suspends a process until `resume`, to simulate a long pause. */
  pause (name: string): void {
    this.#find(name).child?.kill('SIGSTOP')
  }

  resume (name: string): void {
    this.#find(name).child?.kill('SIGCONT')
  }

  isRunning (name: string): boolean {
    return this.#processes.get(name)?.child !== undefined
  }

  waitForExit (name: string): Promise<number | null> {
    return this.#find(name).exitCode
  }

  /** Returns the process ID, for example to measure processor time and memory. */
  findProcessId (name: string): number | undefined {
    return this.#find(name).child?.pid
  }

  /** Returns the end of the output of a process, for the report of a failed start. */
  readLog (name: string): string {
    return readFileSync(join(this.directory, `${name}.log`), 'utf8').slice(-LOG_TAIL_BYTES)
  }

  async close (): Promise<void> {
    this.#killAll()
    await Promise.all([...this.#processes.values()].map(({ exitCode }) => exitCode))
    process.off('exit', this.#killAll)
    process.off('SIGINT', this.#handleInterrupt)
    process.off('SIGTERM', this.#handleInterrupt)
    if (process.env['TANAGERUSHER_KEEP_LOGS'] === undefined) rmSync(this.directory, { recursive: true, force: true })
  }

  #spawn (name: string, program: string, settingsFile: string): void {
    const log = openSync(join(this.directory, `${name}.log`), 'a')
    const child = spawn(process.execPath, [program, '--config', settingsFile], { stdio: ['ignore', log, log] })
    closeSync(log)
    const managed: ManagedProcess = { program, settingsFile, child, exitCode: Promise.resolve(null) }
    managed.exitCode = new Promise((resolve) => {
      child.once('exit', (code) => {
        managed.child = undefined
        resolve(code)
      })
      child.once('error', () => {
        managed.child = undefined
        resolve(null)
      })
    })
    this.#processes.set(name, managed)
  }

  #find (name: string): ManagedProcess {
    const managed = this.#processes.get(name)
    if (managed === undefined) throw new Error(`no process ${name} was started`)
    return managed
  }
}
