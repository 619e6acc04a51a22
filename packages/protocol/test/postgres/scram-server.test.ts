import assert from 'node:assert/strict'
import { createHash, createHmac, pbkdf2Sync } from 'node:crypto'
import { describe, it } from 'node:test'
import { createKeyVerifier } from '../../src/postgres/create-key-verifier.js'
import { ScramServer } from '../../src/postgres/scram-server.js'
import type { ScramVerifier } from '../../src/postgres/scram-verifier.js'

const salt = Buffer.from('0123456789abcdef')
const iterations = 16

function createVerifier (name: string, key: string): ScramVerifier {
  const { storedKey, serverKey } = createKeyVerifier({ key, salt: salt.toString('base64'), iterations })
  return { name, generation: 1, storedKey: Buffer.from(storedKey, 'base64'), serverKey: Buffer.from(serverKey, 'base64') }
}

/** Client side of the exchange; `channel` is the base64 channel binding that the client sends. */
function buildClientFinal (key: string, serverFirst: string, channel = 'biws'): string {
  const nonce = /^r=([^,]+)/.exec(serverFirst)?.[1] ?? ''
  const withoutProof = `c=${channel},r=${nonce}`
  const salted = pbkdf2Sync(key, salt, iterations, 32, 'sha256')
  const clientKey = createHmac('sha256', salted).update('Client Key').digest()
  const signature = createHmac('sha256', createHash('sha256').update(clientKey).digest()).update(`n=,r=abc,${serverFirst},${withoutProof}`).digest()
  return `${withoutProof},p=${Buffer.from(clientKey.map((byte, index) => byte ^ (signature[index] as number))).toString('base64')}`
}

function runExchange (verifiers: ScramVerifier[], key: string, change = (message: string): string => message): ReturnType<ScramServer['handleClientFinal']> {
  const server = ScramServer.create({ salt, iterations, verifiers, nonce: 'xyz' })
  return server.handleClientFinal(change(buildClientFinal(key, server.handleClientFirst('n,,n=,r=abc')._unsafeUnwrap())))
}

describe('ScramServer', () => {
  const verifiers = [createVerifier('k1', 'secret-1'), createVerifier('k2', 'secret-2')]

  it('finds the key with which the client logs in, and none for a wrong key or without keys', () => {
    assert.equal(runExchange(verifiers, 'secret-2')._unsafeUnwrap()?.verifier.name, 'k2')
    assert.equal(runExchange(verifiers, 'secret-1')._unsafeUnwrap()?.verifier.name, 'k1')
    assert.equal(runExchange(verifiers, 'secret-3')._unsafeUnwrap(), undefined)
    assert.equal(runExchange([], 'secret-1')._unsafeUnwrap(), undefined)
  })

  // Guards against replayed and altered exchanges.
  it('rejects a changed nonce, a changed channel binding and malformed messages', () => {
    assert.ok(runExchange(verifiers, 'secret-1', (message) => message.replace('r=abcxyz', 'r=abcxyy')).isErr())
    assert.ok(runExchange(verifiers, 'secret-1', (message) => message.replace('c=biws', 'c=eSws')).isErr())
    assert.ok(runExchange(verifiers, 'secret-1', () => '').isErr())
    const server = ScramServer.create({ salt, iterations, verifiers, nonce: 'xyz' })
    for (const first of ['', 'p=tls-unique,,n=,r=abc', 'n,,n=', 'n,,n=,r=']) assert.ok(server.handleClientFirst(first).isErr(), first)
  })
})
