import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import type pg from 'pg'
import { splitStatements } from '../src/sql/split-statements.js'
import { TestGroup } from './fixtures/test-group.js'

let group: TestGroup
let client: pg.Client

const queries: Array<[text: string, values: unknown[], rows: unknown[][]]> = [
  ['SELECT count(*), sum(quantity), max(id), min(quantity) FROM stock', [], [['4', '106', 'd', '1']]],
  ['SELECT id FROM stock WHERE quantity > $1 AND quantity < $2 ORDER BY quantity DESC', [1, 100], [['c'], ['b']]],
  ['SELECT id AS name, quantity * 2 FROM stock WHERE id = $1', ['b'], [['b', '4']]],
  ['SELECT s.id FROM stock s WHERE s.session = $1 AND s.id <> \'a\' ORDER BY 1', ['s1'], [['b']]],
  ['SELECT session, count(*) AS n, sum(quantity) FROM stock GROUP BY session ORDER BY n DESC, session', [], [['s1', '2', '3'], ['it\'s', '1', '3'], [null, '1', '100']]],
  ['SELECT id FROM stock WHERE session = \'it\'\'s\' OR session IS NULL ORDER BY id', [], [['c'], ['d']]],
  ['SELECT id FROM stock ORDER BY id LIMIT 2 OFFSET 1', [], [['b'], ['c']]],
  ['SELECT id FROM stock WHERE id IN ($1, \'c\') AND NOT quantity BETWEEN 2 AND 2', ['b'], [['c']]],
  ['SELECT coalesce(note, $1), quantity - 1, -quantity FROM stock WHERE id = \'a\'', ['none'], [['none', '0', '-1']]],
  ['SELECT CASE WHEN quantity >= 100 THEN \'many\' ELSE \'few\' END FROM stock WHERE id = \'d\'', [], [['many']]],
  ['SELECT count(*) FROM stock WHERE quantity = -1', [], [['0']]],
  ['SELECT 7 / 2, 7 % 2, 1.5 + 1, \'a\' || 1, true AND NULL', [], [[3, 1, '2.5', 'a1', null]]],
  ['SELECT $1::int + 1, $2, current_setting(\'timezone\')', ['41', 'x'], [[42, 'x', 'UTC']]],
  ['SELECT max(n) FROM generate_series(2, 10, 3) AS n WHERE n < 8', [], [[5]]],
  ['SELECT log_term, role FROM platform_status()', [], [[1, 'primary']]]
]

const failures: Array<[text: string, code: string]> = [
  ['SELEC 1', '42601'],
  ['SELECT * FROM missing', '42P01'],
  ['SELECT missing FROM stock', '42703'],
  ['SELECT missing()', '42883'],
  ['SELECT 1 / 0', '22012'],
  ['INSERT INTO stock (id, quantity) VALUES (\'z\', \'many\')', '22P02'],
  ['INSERT INTO stock (quantity) VALUES (1)', '23502'],
  ['INSERT INTO stock (id) VALUES (\'a\')', '23505'],
  ['UPDATE stock SET id = \'a\' WHERE id = \'b\'', '23505'],
  ['UPDATE stock SET quantity = quantity * 9007199254740991', '22003'],
  ['CREATE TABLE stock (id text)', '42P07'],
  ['SELECT * FROM stock JOIN payment ON true', '0A000'],
  ['DROP TABLE stock', '0A000']
]

describe('SQL', () => {
  before(async () => {
    group = await TestGroup.open()
    client = await group.connect('a')
    await client.query('INSERT INTO stock (id, session, quantity) VALUES (\'a\', \'s1\', 1), (\'b\', \'s1\', $1), (\'c\', \'it\'\'s\', 3), (\'d\', NULL, 100)', [2])
  })
  after(async () => { await group.close() })

  for (const [text, values, rows] of queries) {
    it(text, async () => {
      assert.deepEqual((await client.query({ text, values, rowMode: 'array' })).rows, rows)
    })
  }

  for (const [text, code] of failures) {
    it(`fails with ${code}: ${text}`, async () => {
      await assert.rejects(client.query(text), { code })
    })
  }

  // Guards against an index that still lists a row under its old value.
  it('finds rows by an index after updates, deletions and within a transaction', async () => {
    const find = async (session: string): Promise<string[]> => (await client.query('SELECT id FROM stock WHERE session = $1 ORDER BY id', [session])).rows.map(({ id }) => id)
    await client.query('BEGIN')
    await client.query("UPDATE stock SET session = 's2' WHERE session = 's1' AND id = 'a'")
    await client.query("INSERT INTO stock (id, session) VALUES ('e', 's2')")
    assert.deepEqual([await find('s1'), await find('s2')], [['b'], ['a', 'e']])
    await client.query('COMMIT')
    assert.deepEqual([await find('s1'), await find('s2')], [['b'], ['a', 'e']])
    await client.query("DELETE FROM stock WHERE session = 's2'")
    assert.deepEqual(await find('s2'), [])
  })
})

describe('splitStatements', () => {
  it('splits at semicolons outside of strings and comments and extracts literals', () => {
    const statements = splitStatements("SELECT 'a;b', $1, \"x;1\" /* c; /* n */ */ FROM t2; -- end;\n;UPDATE t SET n = n + 10 WHERE id = $$q'z$$ ORDER BY 1")
    assert.deepEqual(statements.map(({ template, literals, parameterCount }) => [template.replace(/\s+/g, ' '), literals, parameterCount]), [
      ['SELECT $2, $1, "x;1" FROM t2', ['a;b'], 1],
      ['UPDATE t SET n = n + $1 WHERE id = $2 ORDER BY 1', [10, "q'z"], 0]
    ])
  })
})
