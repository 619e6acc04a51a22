import { spawn } from 'node:child_process'
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))

/** Fills in the template of the deploy file: values, `{{a.b|json}}` and sections, as far as the template uses them. */
function renderTemplate (fields) {
  const find = (path) => path.split('.').reduce((value, name) => value?.[name], fields)
  return readFileSync(join(ROOT, 'platform/settings.template.json'), 'utf8')
    .replace(/\{\{#([\w.-]+)\}\}(.*?)\{\{\/\1\}\}/g, (_, path, text) => find(path) === undefined ? '' : text)
    .replace(/\{\{([\w.-]+)(\|json)?\}\}/g, (_, path, isJson) => isJson === undefined ? String(find(path)) : JSON.stringify(find(path)))
}

/** Reads the command with which the deploy file runs the role. */
function readCommand () {
  return /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1].split(' ')
}

/** Below the ports that the kernel gives to outgoing connections. */
const FIRST_PORT = 10_000
const PORTS = 20_000

/** Finds a port that is free on an address. */
async function findPort (address) {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS)
    const server = createServer()
    const isFree = await new Promise((resolve) => {
      server.once('error', () => { resolve(false) })
      server.listen(port, address, () => { resolve(true) })
    })
    if (!isFree) continue
    await new Promise((resolve) => { server.close(resolve) })
    return port
  }
}

/** One host program as a separate process, run with the command of the deploy file. */
export class Host {
  #child

  static async create ({ name, ip, zone, regions, bounds, store, promotion, directory }) {
    const host = new Host()
    const [front, ready, peer, metrics] = [await findPort(ip), await findPort(ip), await findPort(ip), await findPort(ip)]
    Object.assign(host, { name, ip, zone, front, ready, peer, file: join(directory, `${name}.json`), output: createWriteStream(join(directory, `${name}.log`)) })
    const text = renderTemplate({
      node: name, ip, zone, region: regions[zone], zones: regions, listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}` }, 'internal-ports': [peer, peer + 15], bounds, limits: { 'link-mbps': 1000 }, platform: { address: store.address }, cloud: { address: promotion.address }
    })
    writeFileSync(host.file, text.replace(/"metricsPort": \d+/, `"metricsPort": ${metrics}`))
    return host
  }

  get isRunning () { return this.#child !== undefined }

  start () {
    const [program, ...words] = readCommand()
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, words, { cwd: ROOT, env: { PATH, HOME, LANG, TANAGERUSHER_NODE_FILE: this.file }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.#child = child
    child.stdout.pipe(this.output, { end: false })
    child.stderr.pipe(this.output, { end: false })
    child.on('exit', () => { if (this.#child === child) this.#child = undefined })
  }

  signal (signal) { this.#child?.kill(signal) }

  async end () {
    const child = this.#child
    if (child === undefined) return
    const exited = new Promise((resolve) => { child.once('exit', resolve) })
    child.kill('SIGKILL')
    await exited
  }
}
