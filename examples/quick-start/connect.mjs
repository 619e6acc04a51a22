// Writes one payment and reads it back. Usage: node examples/quick-start/connect.mjs CONNECTION_STRING
import pg from 'pg'
const client = new pg.Client({ connectionString: process.argv[2] })
await client.connect()
const id = crypto.randomUUID()
await client.query('INSERT INTO toll_payment (id, amount) VALUES ($1, 5)', [id])
const { rows } = await client.query('SELECT id, amount FROM toll_payment WHERE id = $1', [id])
console.log(rows)
await client.end()
