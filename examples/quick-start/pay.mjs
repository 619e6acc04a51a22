// Writes a payment and reads it back, up to ten times per second. Usage: node examples/quick-start/pay.mjs CONNECTION_STRING COUNT
import process from 'node:process'
import pg from 'pg'
const [connectionString, count] = process.argv.slice(2)
const client = new pg.Client({ connectionString })
client.once('error', ({ code, message }) => {
  console.log(`connection ended: ${code} ${message}`)
  process.exit(1)
})
await client.connect()
for (let i = 1; i <= Number(count); i++) {
  const startMs = performance.now()
  try {
    const id = crypto.randomUUID()
    await client.query('INSERT INTO toll_payment (id, amount) VALUES ($1, 5)', [id])
    const { rows } = await client.query('SELECT id FROM toll_payment WHERE id = $1', [id])
    console.log(`${i} ${rows.length === 1 ? 'paid and read back' : 'NOT READ BACK'} ${Math.round(performance.now() - startMs)} ms`)
  } catch ({ code, message, hint }) {
    console.log(`${i} ${code} ${message} ${hint}`)
  }
  await new Promise((resolve) => { setTimeout(resolve, 100) })
}
await client.end()
