// Builds the workspace, runs every test file, or those of the named packages, and prints `N passed, N failed` last.
// KNOWN-RED.txt lists tests that fail because of a known fault, as `red: <test name>`: their failures are printed but not counted.
import { spawnSync } from 'node:child_process'
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { run } from 'node:test'
import process from 'node:process'

const TEST_TIMEOUT_MS = 180_000

const build = spawnSync(process.execPath, ['node_modules/typescript/bin/tsc', '-b'], { stdio: 'inherit' })
if (build.status !== 0) {
  console.log('0 passed, 1 failed')
  process.exit(1)
}

const knownRed = existsSync('KNOWN-RED.txt')
  ? readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter((line) => line.startsWith('red: ')).map((line) => line.slice(5).trim())
  : []
const selected = process.argv.slice(2)
const files = findTestFiles(selected)
const counts = { passed: 0, failed: 0, red: 0 }

const stream = run({ files, concurrency: 4, timeout: TEST_TIMEOUT_MS })
stream.on('test:pass', ({ details, name }) => {
  if (details.type !== 'suite' && !name.endsWith('.js')) counts.passed++
})
stream.on('test:fail', ({ details, name, file }) => {
  if (details.type === 'suite') return
  const isKnownRed = knownRed.includes(name)
  isKnownRed ? counts.red++ : counts.failed++
  console.log(`${isKnownRed ? 'known red' : 'FAILED'}: ${name} (${file})`)
  console.log(details.error?.cause?.stack ?? details.error?.message ?? '')
})
stream.on('test:stderr', ({ message }) => { if (process.env.TEST_LOGS) process.stderr.write(message) })
stream.on('end', () => {
  if (counts.red > 0) console.log(`${counts.red} known red (KNOWN-RED.txt)`)
  console.log(`${counts.passed} passed, ${counts.failed} failed`)
  process.exitCode = counts.failed === 0 && counts.passed > 0 ? 0 : 1
})
stream.resume()

function findTestFiles (names) {
  const packages = names.length > 0 ? names : [...readdirSync('packages'), 'platform']
  return packages.flatMap((name) => {
    const root = name === 'platform' ? 'platform/dist/test' : `packages/${name}/dist/test`
    return existsSync(root)
      ? readdirSync(root, { recursive: true }).filter((file) => file.endsWith('.test.js')).map((file) => `${root}/${file}`)
      : []
  })
}
