// Measures the processor time, resident memory and outgoing bytes of each control process in a fleet on loopback.
// Usage: node scripts/measure-control-cost.mjs [hosts] [seconds]. Bounds per host: 3.8% of a core, 64 MB, 18 KB/s.
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const hosts = Number(process.argv[2] ?? 8)
const seconds = Number(process.argv[3] ?? 20)
const WARM_UP_MS = 8000
const ORGANISATIONS = 8
const directory = mkdtempSync(join(tmpdir(), 'tanagerusher-cost-'))
const children = []

const store = await startProgram('store', { port: 0, controlPort: 0 })
const storeUrl = `http://127.0.0.1:${store.ready.port}`
for (let index = 0; index < ORGANISATIONS; index++) {
  await fetch(`${storeUrl}/v1/objects/organisation/o${index}`, { method: 'PUT', headers: { 'if-none-match': '*' }, body: JSON.stringify({ rate: 1000, burst: 500 }) })
}
const controls = []
for (let index = 0; index < hosts; index++) {
  const peers = controls.slice(0, 2).map(({ ready }) => ({ host: '127.0.0.1', port: ready.port }))
  const settings = { host: `h${index}`, dataCentre: `d${index % 3}`, region: 'r', port: 0, storeUrl, peers, administration: { port: 0 } }
  controls.push(await startProgram('control', settings))
}
await wait(WARM_UP_MS)
const costsBefore = controls.map(readCost)
const callsBefore = await readStoreCallCount()
await wait(seconds * 1000)
const costsAfter = controls.map(readCost)
const callsAfter = await readStoreCallCount()
const costs = costsAfter.map((cost, index) => ({
  host: controls[index].ready.host,
  corePercent: round((cost.ticks - costsBefore[index].ticks) / seconds),
  residentMb: round(cost.residentKb / 1024),
  anonymousMb: round(cost.anonymousKb / 1024),
  sentKbPerSecond: round((cost.written - costsBefore[index].written) / seconds / 1024)
}))
console.table(costs)
console.log(JSON.stringify({ hosts, seconds, worst: { corePercent: computeMaximum('corePercent'), residentMb: computeMaximum('residentMb'), sentKbPerSecond: computeMaximum('sentKbPerSecond') }, storeCallsPerSecond: callsAfter === null ? null : round((callsAfter - callsBefore) / seconds) }))
for (const child of children) child.kill('SIGKILL')
rmSync(directory, { recursive: true })

function computeMaximum (field) {
  return Math.max(...costs.map((cost) => cost[field]))
}

function round (value) {
  return Math.round(value * 100) / 100
}

async function wait (ms) {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

/** `wchar` counts every byte that the process writes: to peers, to the store and to the log. A tick is a hundredth of a second. */
function readCost ({ child }) {
  const stat = readFileSync(`/proc/${child.pid}/stat`, 'utf8').split(') ')[1].split(' ')
  const status = readFileSync(`/proc/${child.pid}/status`, 'utf8')
  return {
    ticks: Number(stat[11]) + Number(stat[12]),
    residentKb: Number(/VmRSS:\s+(\d+)/.exec(status)[1]),
    anonymousKb: Number(/RssAnon:\s+(\d+)/.exec(status)[1]),
    written: Number(/wchar: (\d+)/.exec(readFileSync(`/proc/${child.pid}/io`, 'utf8'))[1])
  }
}

async function readStoreCallCount () {
  const response = await fetch(`http://127.0.0.1:${store.ready.controlPort}/statistics`).catch(() => undefined)
  if (response?.ok !== true) return null
  const { total } = await response.json()
  return total.reads + total.writes + total.watches
}

/** Starts a program and waits for the log line that contains its port. */
async function startProgram (program, settings) {
  const file = join(directory, `${program}-${children.length}.json`)
  writeFileSync(file, JSON.stringify(settings))
  const child = spawn(process.execPath, [`packages/${program}/bin/tanagerusher-${program}.js`, '--config', file], { stdio: ['ignore', 'ignore', 'pipe'] })
  children.push(child)
  const ready = await new Promise((resolve, reject) => {
    let text = ''
    child.once('exit', (code) => { reject(new Error(`${program} exited with code ${code}: ${text}`)) })
    child.stderr.on('data', (chunk) => {
      text += chunk
      const line = text.split('\n').find((candidate) => candidate.includes('is ready'))
      if (line !== undefined) resolve(JSON.parse(line))
    })
  })
  return { child, ready }
}
