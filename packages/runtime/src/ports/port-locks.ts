import { closeSync, mkdirSync, openSync, readdirSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir, userInfo } from 'node:os'
import { join } from 'node:path'

/** Shared by all runs of a user that have the same temporary directory. */
const DEFAULT_DIRECTORY = join(tmpdir(), `tanagerusher-ports-${userInfo().uid}`)
/** Index of the start time among the fields of /proc/PID/stat that follow the program name. */
const START_TIME_FIELD = 19
const LOCK_FILE = /^(\d+)\.(\d+)\.(\d+)$/

/** Lock files of this process, which its exit removes. After a SIGKILL, the next process that lists them does. */
const ownFiles = new Set<string>()
process.on('exit', () => { for (const file of ownFiles) rmSync(file, { force: true }) })

/**
 * Locks of ports between processes. A lock is an empty file `PORT.PID.START`, created exclusively, where START is the start time
 * of the owner, so that another process with the same ID later does not count as the owner.
 *
 * A process first creates its file and then lists the directory, and withdraws if another living process has a file for the same
 * port. Of two processes, the one that lists later sees the file of the other, so both never keep the port. Because the file names
 * of two owners differ, removing the file of an ended owner cannot remove the lock of a new one.
 */
export class PortLocks {
  readonly #directory: string
  readonly #owner = `${process.pid}.${readStartTime(process.pid)}`

  private constructor (directory: string) {
    this.#directory = directory
    mkdirSync(directory, { recursive: true })
  }

  static create ({ directory = DEFAULT_DIRECTORY }: { directory?: string } = {}): PortLocks {
    return new PortLocks(directory)
  }

  /** Returns the ports of `ports` that are now locked by this call. The others have an owner, which may be this process. */
  acquire (ports: readonly number[]): number[] {
    const created = ports.filter((port) => this.#createFile(port))
    const others = this.#listOtherOwners(new Set(created))
    return created.filter((port) => {
      if (!others.has(port)) return true
      this.release(port)
      return false
    })
  }

  release (port: number): void {
    const file = this.#findFile(port)
    rmSync(file, { force: true })
    ownFiles.delete(file)
  }

  #createFile (port: number): boolean {
    const file = this.#findFile(port)
    try {
      closeSync(openSync(file, 'wx'))
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'EEXIST') return false
      throw error
    }
    ownFiles.add(file)
    return true
  }

  /** Returns those of `ports` that another living process has locked. Removes the files of ended owners. */
  #listOtherOwners (ports: ReadonlySet<number>): Set<number> {
    const locked = new Set<number>()
    for (const name of readdirSync(this.#directory)) {
      const [, port, pid, startTime] = LOCK_FILE.exec(name) ?? []
      if (port === undefined || !ports.has(Number(port)) || `${pid}.${startTime}` === this.#owner) continue
      if (isRunning(Number(pid), startTime as string)) locked.add(Number(port))
      else rmSync(join(this.#directory, name), { force: true })
    }
    return locked
  }

  #findFile (port: number): string {
    return join(this.#directory, `${port}.${this.#owner}`)
  }
}

function isRunning (pid: number, startTime: string): boolean {
  try {
    process.kill(pid, 0)
  } catch (error) {
    return (error as NodeJS.ErrnoException).code === 'EPERM'
  }
  return readStartTime(pid) === startTime
}

/** Returns '0' on systems without /proc, where the process ID alone identifies the owner. */
function readStartTime (pid: number): string {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
    return stat.slice(stat.lastIndexOf(')') + 2).split(' ')[START_TIME_FIELD] ?? '0'
  } catch {
    return '0'
  }
}
