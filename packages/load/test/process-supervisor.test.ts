import assert from 'node:assert/strict'
import { existsSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'
import { ProcessSupervisor } from '../src/fleet/process-supervisor.js'

const isAlive = (id: number): boolean => {
  try {
    return process.kill(id, 0)
  } catch {
    return false
  }
}

test('close ends every started process, including suspended and restarted ones, and removes the directory', async () => {
  const supervisor = ProcessSupervisor.create()
  const program = join(supervisor.directory, 'wait.mjs')
  writeFileSync(program, "process.on('SIGTERM', () => {}); setInterval(() => {}, 1000)")
  for (const name of ['killed', 'paused', 'running']) supervisor.start(name, program, {})
  supervisor.kill('killed')
  await supervisor.waitForExit('killed')
  supervisor.restart('killed')
  supervisor.pause('paused')
  const ids = ['killed', 'paused', 'running'].map((name) => supervisor.findProcessId(name) as number)
  assert.deepEqual(ids.map(isAlive), [true, true, true])
  await supervisor.close()
  assert.deepEqual(ids.map(isAlive), [false, false, false])
  assert.equal(existsSync(supervisor.directory), false)
})
