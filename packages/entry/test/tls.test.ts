import assert from 'node:assert/strict'
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { TLSSocket } from 'node:tls'
import { fileURLToPath } from 'node:url'
import { afterEach, beforeEach, describe, it } from 'node:test'
import type pg from 'pg'
import { RawCaller } from './fixtures/raw-caller.js'
import { TestFleet } from './fixtures/test-fleet.js'

const certificates = fileURLToPath(new URL('../../test/fixtures/certificates/', import.meta.url))
const TLS_REQUEST = Buffer.from([0, 0, 0, 8, 4, 210, 22, 47])

let fleet: TestFleet
let directory: string

function installCertificate (name: string): void {
  copyFileSync(join(certificates, `${name}-key.pem`), join(directory, 'key.pem'))
  copyFileSync(join(certificates, `${name}.pem`), join(directory, 'certificate.pem'))
}

function readSubject (client: pg.Client): string {
  const { stream } = (client as unknown as { connection: { stream: TLSSocket } }).connection
  return String(stream.getPeerCertificate().subject.CN)
}

async function openFleet (required: boolean): Promise<TestFleet> {
  const callerTls = { certificateFile: join(directory, 'certificate.pem'), keyFile: join(directory, 'key.pem'), required }
  return await TestFleet.open({ settings: { callerTls, certificateCheckMs: 20 } })
}

describe('TLS for callers', () => {
  const ssl = { rejectUnauthorized: false }

  beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), 'entry-tls-'))
    installCertificate('first')
  })

  afterEach(async () => {
    await fleet.close()
    rmSync(directory, { recursive: true })
  })

  it('serves callers with and without TLS, and only callers with TLS when it is required', async () => {
    fleet = await openFleet(false)
    await (await fleet.connect({ ssl })).query('SELECT 1')
    await (await fleet.connect()).query('SELECT 1')
    await fleet.close()
    fleet = await openFleet(true)
    await (await fleet.connect({ ssl })).query('SELECT 1')
    await assert.rejects(fleet.connect(), { code: '08P01' })
  })

  // Guards against an outage when the certificate is reloaded while only one of its files has been replaced.
  it('uses a renewed certificate for new callers and keeps the earlier one while the new one is invalid', async () => {
    fleet = await openFleet(false)
    const before = await fleet.connect({ ssl })
    assert.equal(readSubject(before), 'first.test')
    writeFileSync(join(directory, 'certificate.pem'), 'broken')
    while (!fleet.logLines.some((line) => line.includes('cannot be loaded'))) await new Promise((resolve) => { setImmediate(resolve) })
    assert.equal(readSubject(await fleet.connect({ ssl })), 'first.test')
    installCertificate('second')
    while (!fleet.logLines.some((line) => line.includes('certificate for callers loaded'))) await new Promise((resolve) => { setImmediate(resolve) })
    assert.equal(readSubject(await fleet.connect({ ssl })), 'second.test')
    await before.query('SELECT 1')
  })

  // Guards against plaintext messages that an attacker on the path injects before the TLS handshake.
  it('rejects plaintext data sent after the TLS request', async () => {
    fleet = await openFleet(false)
    const caller = RawCaller.fromSocket(connect(fleet.entries[0]?.callerPort as number, '127.0.0.1'))
    caller.send(Buffer.concat([TLS_REQUEST, Buffer.from('startup')]))
    await caller.waitForClose()
    assert.match(caller.list()[0]?.text ?? '', /08P01/)
  })
})
