import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { existsSync, readFileSync, statSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { after, before, describe, it } from 'node:test'
import { promisify } from 'node:util'
import { createKeyVerifier } from '@tanagerusher/protocol/postgres/create-key-verifier'
import type { ControlProcess } from '../src/process/control-process.js'
import { ControlFleet } from './fixtures/control-fleet.js'

describe('administration API', () => {
  const fleet = new ControlFleet()
  let control: ControlProcess

  before(async () => {
    control = await fleet.start()
    await fleet.create(control, '/v1/organisations/o1', { rate: 10, burst: 5 })
    await fleet.create(control, '/v1/organisations/o2', { rate: 10, burst: 5 })
    await fleet.create(control, '/v1/groups/g1', { databases: [{ name: 'd1', host: '127.0.0.1', port: 5432, dataCentre: 'x', region: 'y' }], password: 'upstream' })
  })
  after(async () => { await fleet.close() })

  // Guards against an operator's change that silently overwrites a concurrent one.
  it('accepts one of two concurrent writes and rejects the other as a version conflict', async () => {
    const created = await fleet.create(control, '/v1/entries/race', { owner: 'o1', group: 'g1' })
    assert.equal(created.status, 201)
    const write = async (repeatable: boolean) => await fleet.call(control, { method: 'PUT', path: '/v1/entries/race', body: { owner: 'o1', group: 'g1', repeatable }, headers: { 'if-match': created.etag ?? '' } })
    const responses = await Promise.all([write(true), write(false)])
    assert.deepEqual(responses.map(({ status }) => status).sort(), [200, 412])
    const rejected = responses.find(({ status }) => status === 412)
    assert.equal(rejected?.body.kind, 'version-conflict')
    assert.ok(typeof rejected?.body.remedy === 'string' && typeof rejected.body.found === 'object')
  })

  // Guards against a write that is reported as failed although it took effect, because the response of the store was lost.
  it('reports a change as created when the response of the store was lost', async () => {
    fleet.store.lostAnswers = 1
    const response = await fleet.create(control, '/v1/entries/lost', { owner: null, group: 'g1' })
    assert.equal(response.status, 201)
    assert.equal((await fleet.call(control, { path: '/v1/entries/lost' })).etag, response.etag)
  })

  it('requires a condition, checks references, changes nothing on a dry run, pages lists, hides passwords', async () => {
    const put = { method: 'PUT', path: '/v1/entries/e1', body: { owner: 'o1', group: 'g1' } }
    assert.equal((await fleet.call(control, put)).body.kind, 'object-invalid')
    assert.equal((await fleet.create(control, '/v1/entries/e1', { owner: 'nobody', group: 'g1' })).status, 400)
    assert.equal((await fleet.create(control, '/v1/entries/e1?dryRun=true', put.body)).status, 200)
    assert.equal((await fleet.call(control, { path: '/v1/entries/e1' })).status, 404)
    const page = await fleet.call(control, { path: '/v1/organisations?limit=1' })
    assert.equal(page.body.next, 'o1')
    assert.equal((await fleet.call(control, { path: '/v1/groups/g1' })).body.value?.password, '(hidden)')
    assert.equal((await fleet.call(control, { path: '/v1/openapi.json', credential: '' })).body.openapi, '3.1.0')
  })

  // Guards against a team that changes entries of other organisations, or assigns an entry to another owner to affect other callers.
  it('lets a team change only its own entries', async () => {
    const { body } = await fleet.call(control, { method: 'PUT', path: '/v1/operators/team1', body: { role: 'team', organisation: 'o1' } })
    const credential = `team1:${String(body.credential)}`
    const create = async (name: string, owner: string | null) => (await fleet.call(control, { method: 'PUT', path: `/v1/entries/${name}`, body: { owner, group: 'g1' }, headers: { 'if-none-match': '*' }, credential })).status
    assert.equal(await create('own', 'o1'), 201)
    assert.equal(await create('other', 'o2'), 403)
    assert.equal(await create('open', null), 403)
    assert.equal((await fleet.call(control, { method: 'DELETE', path: '/v1/entries/lost', headers: { 'if-match': '"1"' }, credential })).status, 403)
    assert.equal((await fleet.call(control, { method: 'POST', path: '/v1/keys', body: { organisation: 'o1' }, credential })).status, 403)
    assert.equal((await fleet.call(control, { path: '/v1/snapshot', credential })).status, 403)
    assert.equal((await fleet.call(control, { path: '/v1/entries', credential: 'team1:wrong' })).status, 401)
  })

  // Guards against a key that is stored or returned again in plain text, keys of one organisation with different salts, and a reissued
  // key that is taken for the withdrawn one.
  it('returns a key once, stores its verifier with the salt of the organisation, and increments the generation of a reissued key', async () => {
    const issue = async () => await fleet.call(control, { method: 'POST', path: '/v1/keys', body: { organisation: 'o1' } })
    const [first, second] = await Promise.all([issue(), issue()])
    const key = String(first?.body.key)
    const stored = await fleet.store.read('key', String(first?.body.name))
    const { changeId, ...value } = stored?.value as Record<string, unknown> & { salt: string }
    assert.deepEqual(value, { organisation: 'o1', generation: 1, withdrawn: false, ...createKeyVerifier({ key, salt: value.salt }) })
    assert.equal((await fleet.store.read('key', String(second?.body.name)) as { value: { salt: string } }).value.salt, value.salt)
    assert.ok(!JSON.stringify(await fleet.store.list(['key', 'fleet'])).includes(key))
    const path = `/v1/keys/${String(first?.body.name)}`
    assert.equal((await fleet.call(control, { method: 'POST', path: `${path}/withdraw` })).body.withdrawn, true)
    const reissued = await fleet.call(control, { method: 'POST', path: `${path}/issue`, body: {} })
    assert.deepEqual([reissued.body.generation, reissued.body.withdrawn], [2, false])
    assert.equal((await fleet.call(control, { path })).body.storedKey, undefined)
  })

  // Guards against a former key that stays valid after the overlap of its rotation, or is withdrawn before the overlap ends.
  it('issues a new key immediately on rotation, and withdraws the former ones when the overlap ends', async () => {
    const rotate = async (overlapSeconds: number) => (await fleet.call(control, { method: 'POST', path: '/v1/organisations/o2/rotate-key', body: { overlapSeconds } })).body
    const isWithdrawn = async (name: unknown) => (await fleet.call(control, { path: `/v1/keys/${String(name)}` })).body.withdrawn
    const first = await rotate(3600)
    const second = await rotate(0)
    assert.deepEqual(second.formerKeys, [first.name])
    await fleet.waitFor(async () => await isWithdrawn(first.name) === true, 'the expiry')
    assert.equal(await isWithdrawn(second.name), false)
  })

  // Guards against a starting host that loads a damaged snapshot or one of an unknown format version.
  it('exports a snapshot that a host imports at its start, and rejects a damaged one or one of an unknown format version', async () => {
    const { body } = await fleet.call(control, { path: '/v1/snapshot' })
    const importSnapshot = async (content: unknown) => {
      const snapshotFile = join(fleet.directory, 'snapshot.json')
      writeFileSync(snapshotFile, JSON.stringify(content))
      fleet.store.isDown = true
      const alone = await fleet.start({ host: 'alone', peers: [], snapshotFile })
      const { body: { version } } = await fleet.call(alone, { path: '/v1/status' })
      fleet.store.isDown = false
      await alone.destroy()
      return version
    }
    const configuration = body.configuration as { toVersion: number, changes: unknown[] }
    assert.equal(await importSnapshot(body), configuration.toVersion)
    assert.equal(await importSnapshot({ ...body, formatVersion: 2 }), 0)
    assert.equal(await importSnapshot({ ...body, configuration: { ...configuration, changes: configuration.changes.slice(1) } }), 0)
    const difference = await fleet.call(control, { method: 'POST', path: '/v1/snapshot/diff', body })
    assert.deepEqual(difference.body.differences, [])
  })

  // Guards against a key that is lost after its issue because its file cannot be created: it would be valid, but no caller would have it.
  it('issues no key when the output file exists, and creates no file when the request is rejected', async () => {
    const credentialFile = join(fleet.directory, 'key-credential')
    const keyFile = join(fleet.directory, 'issued-key')
    writeFileSync(credentialFile, 'root:secret')
    writeFileSync(keyFile, 'former key')
    const issue = async (organisation: string, file: string) => await promisify(execFile)(process.execPath, [
      'packages/cli/bin/tanagerusherctl.js', '--server', `http://127.0.0.1:${control.administrationPort}`, '--credential-file', credentialFile,
      'key', 'issue', organisation, '--output-file', file
    ]).then(() => 0, ({ code }: { code: number }) => code)
    const listKeys = async () => (await fleet.store.list(['key'])).objects.map(({ name }) => name)
    const before = await listKeys()
    assert.equal(await issue('o1', keyFile), 2)
    assert.deepEqual(await listKeys(), before)
    assert.equal(readFileSync(keyFile, 'utf8'), 'former key')
    const newFile = join(fleet.directory, 'new-key')
    assert.equal(await issue('nobody', newFile), 5)
    assert.equal(existsSync(newFile), false)
    assert.equal(await issue('o1', newFile), 0)
    assert.match(readFileSync(newFile, 'utf8'), /^[\w-]{43}\n$/)
    assert.equal(statSync(newFile).mode & 0o777, 0o600)
  })

  it('serves tanagerusherctl: apply, diff, key through a pipe, promote, status and exit codes', async () => {
    const credentialFile = join(fleet.directory, 'credential')
    const file = join(fleet.directory, 'apply.json')
    writeFileSync(credentialFile, 'root:secret')
    writeFileSync(file, JSON.stringify([{ kind: 'entry', name: 'cli', value: { owner: 'o1', group: 'g1', class: 'critical' } }]))
    const runCommand = async (...words: string[]) => await promisify(execFile)(process.execPath, ['packages/cli/bin/tanagerusherctl.js', '--server', `http://127.0.0.1:${control.administrationPort}`, '--credential-file', credentialFile, ...words])
      .then(({ stdout }) => ({ code: 0, stdout }), (error: { code: number, stdout: string }) => ({ code: error.code, stdout: error.stdout }))
    assert.equal((await runCommand('diff', '-f', file)).code, 9)
    assert.match((await runCommand('apply', '-f', file)).stdout, /created/)
    assert.match((await runCommand('apply', '-f', file)).stdout, /unchanged/)
    assert.equal((await runCommand('diff', '-f', file)).code, 0)
    assert.match((await runCommand('key', 'issue', 'o1')).stdout, /^[\w-]{43}\n$/)
    assert.equal((await runCommand('promote', 'g1', 'd1')).code, 0)
    assert.equal((await runCommand('promote', 'g1', 'nowhere')).code, 5)
    assert.equal((JSON.parse((await runCommand('--output', 'json', 'status')).stdout) as { hosts: unknown[] }).hosts.length, 1)
    assert.equal((await runCommand('get', 'nonsense')).code, 2)
    assert.match((await runCommand('explain', 'rate-exceeded')).stdout, /53400/)
    assert.match((await runCommand('completion', 'bash')).stdout, /complete -o default/)
  })
})
