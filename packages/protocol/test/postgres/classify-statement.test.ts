import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { classifyStatement } from '../../src/postgres/classify-statement.js'
import { parseStatementComment } from '../../src/postgres/parse-statement-comment.js'

describe('classifyStatement', () => {
  // Guards against writes that are sent to a replica and against locking reads that take no locks because they run at one.
  it('classifies a text as a read only when it certainly is one', () => {
    const reads = ['SELECT 1', ' /* a /* b */ c */ select * from t -- FOR UPDATE', "SELECT 'x; FOR UPDATE'", 'SHOW x;', '(SELECT 1)', "SELECT E'\\'' FROM t",
      'SELECT $$ ; insert $$', 'SELECT $a$ $$; $a$', 'SELECT "for update" FROM t', 'BEGIN READ ONLY', 'START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY']
    const writes = ['INSERT INTO t VALUES (1)', 'SELECT * FROM t FOR UPDATE', 'select 1 for no key update', 'SELECT * INTO t2 FROM t', 'WITH a AS (SELECT 1) SELECT 1',
      'SELECT 1; SELECT 2', "SELECT E'\\' ; DELETE FROM t; --'; DELETE FROM t", 'EXPLAIN ANALYZE DELETE FROM t', 'BEGIN', 'BEGIN READ WRITE', 'BEGIN READ ONLY; DELETE FROM t', '']
    for (const text of reads) assert.equal(classifyStatement(text).access, 'read', text)
    for (const text of writes) assert.equal(classifyStatement(text).access, 'write', text)
  })

  it('counts statements and finds where transactions begin and end', () => {
    assert.equal(classifyStatement(' ;; -- nothing').count, 0)
    assert.equal(classifyStatement('BEGIN; INSERT INTO t VALUES (1); COMMIT').count, 3)
    assert.deepEqual(['BEGIN', 'COMMIT', 'ROLLBACK TO s', 'ROLLBACK', 'END'].map((text) => {
      const { begins, ends, commits } = classifyStatement(text)
      return [begins, ends, commits]
    }), [[true, false, false], [false, true, true], [false, false, false], [false, true, false], [false, true, true]])
  })

  // Guards against state that a caller leaves in a shared upstream session and that then affects another caller.
  it('marks features that need state in the upstream session as unsupported, in any statement of the text', () => {
    const refused = ['COPY t TO STDOUT', 'listen a', 'PREPARE p AS SELECT 1', 'EXECUTE p', 'DISCARD ALL', 'SET search_path = a', 'RESET ALL', 'CREATE TEMP TABLE t (a int)',
      'SELECT 1 INTO TEMP t', 'SELECT pg_advisory_lock(1)', "SELECT set_config('a', 'b', false)", 'COMMIT PREPARED \'x\'', 'DECLARE c CURSOR WITH HOLD FOR SELECT 1', 'SELECT 1; LISTEN a']
    const accepted = ['SET LOCAL a = b', 'SET TRANSACTION READ ONLY', 'SELECT pg_advisory_xact_lock(1)', "SELECT 'COPY'", 'DECLARE c CURSOR FOR SELECT 1', 'CREATE TABLE temp_t (a int)']
    for (const text of refused) assert.ok(classifyStatement(text).unsupported !== undefined, text)
    for (const text of accepted) assert.equal(classifyStatement(text).unsupported, undefined, text)
  })
})

describe('parseStatementComment', () => {
  const traceparent = '00-0123456789abcdef0123456789abcdef-0123456789abcdef-01'

  it('reads the fields of the last comment', () => {
    const text = `SELECT 1 /*action='a',idempotency_key='pay%2F1',session='x.y',traceparent='${traceparent}'*/;`
    assert.deepEqual(parseStatementComment(text)._unsafeUnwrap(), { idempotencyKey: 'pay/1', session: 'x.y', traceparent })
    assert.deepEqual(parseStatementComment("SELECT '/*session=' /*x*/ FROM t")._unsafeUnwrap(), {})
    assert.deepEqual(parseStatementComment("SELECT 1 /*traceparent='nonsense'*/")._unsafeUnwrap(), {})
  })

  // Guards against an idempotency key that is dropped: the work could then run twice.
  it('rejects an idempotency key that is empty, wrongly encoded or too long', () => {
    for (const value of ['', '%zz', 'a'.repeat(201)]) assert.ok(parseStatementComment(`SELECT 1 /*idempotency_key='${value}'*/`).isErr(), value)
    assert.ok(parseStatementComment(`SELECT 1 /*${'a'.repeat(9000)},idempotency_key='a'*/`).isErr())
  })
})
