import { spawn } from 'node:child_process'
import { readFileSync, createWriteStream, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { renderSettings } from './render-settings.mjs'

/** Time after which the platform starts an ended process again. */
const RESTART_MS = 500

/** One host program, started with the command of the deploy file and restarted when it ends. */
export class HostProcess {
  name
  fields
  /** Times and exit codes of ends that nobody asked for. */
  ownEnds = []
  #root
  #settingsFile
  #log
  #record
  #child
  #isStopping = false
  #isClosed = false

  constructor ({ root, folder, fields, record }) {
    this.#root = root
    this.name = fields.node
    this.fields = fields
    this.#record = record
    this.#settingsFile = join(folder, `${fields.node}.settings`)
    this.#log = createWriteStream(join(folder, `${fields.node}.log`))
  }

  static create (options) {
    return new HostProcess(options)
  }

  get pid () { return this.#child?.pid }

  start () {
    this.#isStopping = false
    const deploy = readFileSync(join(this.#root, 'deploy/system.toml'), 'utf8')
    const [program, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ')
    const template = readFileSync(join(this.#root, /^template = "(.*)"$/m.exec(deploy)[1]), 'utf8')
    writeFileSync(this.#settingsFile, renderSettings(template, this.fields))
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, words, { cwd: this.#root, env: { PATH, HOME, LANG, TANAGERUSHER_NODE_FILE: this.#settingsFile }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.#child = child
    child.stdout.pipe(this.#log, { end: false })
    child.stderr.pipe(this.#log, { end: false })
    let errors = ''
    child.stderr.on('data', (bytes) => { errors += bytes })
    this.#record.add(this.name, `started as process ${child.pid}`)
    child.once('exit', (code, signal) => {
      this.#child = undefined
      if (this.#isClosed || this.#isStopping) return
      const reason = errors.split('\n').find((line) => /Error/.test(line)) ?? ''
      this.#record.add(this.name, `ended by itself: code ${code}, signal ${signal} ${reason}`)
      this.ownEnds.push({ at: this.#record.readTime(), code, reason })
      setTimeout(() => { if (!this.#isClosed) this.start() }, RESTART_MS)
    })
  }

  /** Stops the process as the platform does: SIGTERM, and SIGKILL after the grace. Resolves when it has ended. */
  async stop (graceMs) {
    const child = this.#child
    this.#isStopping = true
    this.signal('SIGTERM')
    const timer = setTimeout(() => { child.kill('SIGKILL') }, graceMs)
    const [code, signal] = await new Promise((resolve) => { child.once('exit', (...end) => { resolve(end) }) })
    clearTimeout(timer)
    this.#record.add(this.name, `has stopped: code ${code}, signal ${signal}`)
  }

  signal (name) {
    this.#record.add(this.name, `gets ${name}`)
    this.#child?.kill(name)
  }

  close () {
    this.#isClosed = true
    this.#child?.kill('SIGKILL')
  }
}
