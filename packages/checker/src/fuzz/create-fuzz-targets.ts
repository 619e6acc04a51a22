import { sessionToken } from '@tanagerusher/coordination/session/session-token'
import { entrySettingsSchema } from '@tanagerusher/entry/settings/entry-settings'
import { SessionTokens } from '@tanagerusher/entry/session/session-tokens'
import { classifyStatement } from '@tanagerusher/protocol/postgres/classify-statement'
import { FrameReader } from '@tanagerusher/protocol/postgres/frame-reader'
import { parseExtendedMessage } from '@tanagerusher/protocol/postgres/parse-extended-message'
import { parseSaslInitialResponse } from '@tanagerusher/protocol/postgres/parse-sasl-initial-response'
import { parseStartup } from '@tanagerusher/protocol/postgres/parse-startup'
import { parseStatementComment } from '@tanagerusher/protocol/postgres/parse-statement-comment'
import { ScramServer } from '@tanagerusher/protocol/postgres/scram-server'
import { parseSettings } from '@tanagerusher/runtime/settings/parse-settings'
import { configurationUpdateSchema } from '@tanagerusher/state/configuration/configuration-update'
import { FrameCodec } from '@tanagerusher/transport/peer/frame-codec'
import { serialize } from 'pg-protocol'
import type { FuzzTarget } from './fuzz-target.js'

const MESSAGE_LIMIT_BYTES = 64 * 1024
const ORGANISATION = 'organisation-1'
const PEER_MESSAGE = { jsonrpc: '2.0', id: 1, method: 'execute', params: { frames: Buffer.from('x') } }

/** Creates a target for each parser of bytes from callers, peers, operators or files. */
export function createFuzzTargets (): FuzzTarget[] {
  return [
    { name: 'caller messages', seeds: createMessageSeeds(), run: runFrameReader },
    { name: 'startup packet', seeds: [serialize.startup({ user: 'u', database: 'd' }).subarray(4), serialize.cancel(1, 2).subarray(4)], run: runStartup },
    { name: 'SASL message', seeds: [serialize.sendSASLInitialResponseMessage('SCRAM-SHA-256', 'n,,n=,r=abcdef')], run: (input) => { parseSaslInitialResponse(input) } },
    { name: 'SCRAM exchange', seeds: [Buffer.from('n,,n=,r=abcdef'), Buffer.from('c=biws,r=abcdef01,p=' + 'A'.repeat(43) + '=')], run: runScram },
    { name: 'statement', seeds: createStatementSeeds(), run: runStatementText },
    { name: 'session token', seeds: [Buffer.from(createTokens().build({ organisation: ORGANISATION, floors: new Map([['g', { term: 1, position: 2 }]]) }))], run: runToken },
    { name: 'peer messages', seeds: [FrameCodec.create().encode(PEER_MESSAGE)], run: (input) => { runPeerFrames(input, FrameCodec.create()) } },
    { name: 'peer messages with shared keys', seeds: [createSharedKeysSeed()], run: (input) => { runPeerFrames(input, FrameCodec.create({ sharesKeys: true })) } },
    { name: 'settings', seeds: [Buffer.from('{"host":"h","dataCentre":"d","region":"r","control":[{"host":"127.0.0.1","port":1}],"sessionKeys":[{"id":"k","secret":"' + 's'.repeat(32) + '"}]}')], run: (input) => { parseSettings(entrySettingsSchema, input.toString()) } },
    { name: 'configuration update', seeds: [Buffer.from('{"fromVersion":0,"toVersion":3,"digest":"a","changes":[{"type":"delete","kind":"key","name":"k","version":3}]}')], run: runConfiguration }
  ]
}

function createMessageSeeds (): Buffer[] {
  return [
    serialize.query('SELECT 1'),
    Buffer.concat([serialize.parse({ name: 's', text: 'SELECT $1', types: [] }), serialize.bind({ statement: 's', values: ['1'] }), serialize.describe({ type: 'P' }), serialize.execute(), serialize.sync()])
  ]
}

function createStatementSeeds (): Buffer[] {
  return [
    "SELECT * FROM payment WHERE id = 'a' -- note\n/*traceparent='00-11111111111111111111111111111111-2222222222222222-01',idempotency_key='k%201'*/",
    "INSERT INTO payment VALUES ($$a;b$$, E'\\'x'); /* a /* nested */ comment */ UPDATE stock SET a = 1",
    "BEGIN READ ONLY; SELECT 1 FOR UPDATE /*session='abc.k.def'*/"
  ].map((text) => Buffer.from(text))
}

function createTokens (): SessionTokens {
  return SessionTokens.create({ keys: [{ id: 'k', secret: 's'.repeat(32) }] })
}

function runFrameReader (input: Buffer): void {
  const reader = FrameReader.create({ maximumMessageBytes: MESSAGE_LIMIT_BYTES })
  reader.allowLongMessages()
  for (let start = 0; start < input.length; start += 7) {
    reader.push(input.subarray(start, start + 7))
    for (let frame = reader.read(); frame !== undefined; frame = reader.read()) parseExtendedMessage(frame.type, frame.bytes)
  }
}

function runStartup (input: Buffer): void {
  const reader = FrameReader.create({ maximumMessageBytes: MESSAGE_LIMIT_BYTES })
  const length = Buffer.alloc(4)
  length.writeUInt32BE(input.length + 4)
  reader.push(length)
  reader.push(input)
  const body = reader.readStartup()
  if (body !== undefined) parseStartup(body)
}

function runScram (input: Buffer): void {
  const server = ScramServer.create({ salt: Buffer.alloc(16), iterations: 4096, nonce: '01', verifiers: [{ name: 'k', storedKey: Buffer.alloc(32), serverKey: Buffer.alloc(32) }] as never })
  server.handleClientFirst(input.toString())
  server.handleClientFirst('n,,n=,r=abcdef')
  const final = server.handleClientFinal(input.toString())
  if (final.isOk() && final.value !== undefined) throw new Error('a proof that was not made with the key was accepted')
}

function runStatementText (input: Buffer): void {
  const text = input.toString()
  parseStatementComment(text)
  classifyStatement(text)
}

function runToken (input: Buffer): void {
  const tokens = createTokens()
  const original = tokens.build({ organisation: ORGANISATION, floors: new Map([['g', { term: 1, position: 2 }]]) })
  const text = input.toString()
  if (tokens.check(text, ORGANISATION).isOk() && text !== original) throw new Error('a forged session token was accepted')
  sessionToken.decode(text.replaceAll('%', ''))
}

/** Encodes two messages of which the second refers to the keys of the first. */
function createSharedKeysSeed (): Buffer {
  const codec = FrameCodec.create({ sharesKeys: true })
  return Buffer.concat([codec.encode(PEER_MESSAGE), codec.encode(PEER_MESSAGE)])
}

function runPeerFrames (input: Buffer, codec: FrameCodec): void {
  for (let start = 0; start < input.length; start += 5) codec.decode(input.subarray(start, start + 5))
}

function runConfiguration (input: Buffer): void {
  let document: unknown
  try {
    document = JSON.parse(input.toString())
  } catch {
    return
  }
  configurationUpdateSchema.safeParse(document)
}
