import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { serialize } from 'pg-protocol'
import { listFrontendMessages } from '../../src/database/frontend-messages.js'
import { mayLeaveState } from '../../src/database/may-leave-state.js'
import { PreparedStatements } from '../../src/database/prepared-statements.js'

const parse = (name: string, text: string): Buffer => serialize.parse({ name, text })
const use = Buffer.concat([serialize.bind({ statement: 's1' }), serialize.execute(), serialize.sync()])

function listTypes (bytes: Buffer | undefined): string {
  return bytes === undefined ? '' : [...listFrontendMessages(bytes)].map(({ type }) => String.fromCharCode(type)).join('')
}

describe('PreparedStatements', () => {
  // Guards against executing the statement of another session that used the same name on the connection.
  it('prepares a missing statement once, and replaces a statement with the same name and another text', () => {
    const prepared = PreparedStatements.create()
    const first = { frames: use, statements: [{ name: 's1', parse: parse('s1', 'SELECT 1') }] }
    const other = { frames: use, statements: [{ name: 's1', parse: parse('s1', 'SELECT 2') }] }
    assert.equal(listTypes(prepared.prepare(first)), 'CPS')
    assert.equal(prepared.prepare(first), undefined)
    assert.equal(listTypes(prepared.prepare(other)), 'CPS')
    prepared.clear()
    assert.equal(listTypes(prepared.prepare(first)), 'CPS')
  })

  it('closes a name that the frames redefine, removes closed names, and always prepares the unnamed statement', () => {
    const prepared = PreparedStatements.create()
    const defining = Buffer.concat([parse('s1', 'SELECT 1'), serialize.sync()])
    assert.equal(prepared.prepare({ frames: defining, statements: [] }), undefined)
    assert.equal(listTypes(prepared.prepare({ frames: defining, statements: [] })), 'CS')
    prepared.prepare({ frames: Buffer.concat([serialize.close({ type: 'S', name: 's1' }), serialize.sync()]), statements: [] })
    assert.equal(prepared.prepare({ frames: defining, statements: [] }), undefined)
    const unnamed = { frames: use, statements: [{ name: '', parse: parse('', 'SELECT 1') }] }
    assert.equal(listTypes(prepared.prepare(unnamed)), 'PS')
    assert.equal(listTypes(prepared.prepare(unnamed)), 'PS')
  })
})

describe('mayLeaveState', () => {
  const check = (text: string, tag: string, hasParameterStatus = false): boolean => (
    mayLeaveState({ frames: serialize.query(text), statements: [] }, { tags: [tag], hasParameterStatus })
  )

  it('returns true for settings, locks, temporary tables and unknown commands, and false for plain reads and writes', () => {
    assert.equal(check("UPDATE t SET a = 1 WHERE b = 'x'", 'UPDATE 1'), false)
    assert.equal(check('SELECT 1', 'SELECT 1'), false)
    assert.equal(check("SELECT set_config('a', 'b', false)", 'SELECT 1'), true)
    assert.equal(check('SELECT pg_advisory_lock(1)', 'SELECT 1'), true)
    assert.equal(check('CREATE TEMP TABLE x (a int)', 'CREATE TABLE'), true)
    assert.equal(check('SET a = 1', 'SET'), true)
    assert.equal(check('LISTEN x', 'LISTEN'), true)
    assert.equal(check('SELECT 1', 'SELECT 1', true), true)
  })
})
