// Fails when a package imports the platform adapter or uses a name of the platform's wire protocol, settings, store or calls.
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'

const FORBIDDEN = [
  [/@tanagerusher\/platform/, 'imports the platform adapter'],
  [/\b(INDOUBT|CONNLIMIT|WRONGNODE|NOSTMT|NODB|NOAUTH|DEALLOC)\b/, "uses a word of the platform's wire"],
  [/TANAGERUSHER_NODE_FILE|store-revision|db-role|tx-idle-ms|max-staleness-ms|api-keys|Fencing-Token|Lease-Holder/i, "uses a name of the platform's settings, store or calls"]
]

const files = execFileSync('git', ['ls-files', '-co', '--exclude-standard', 'packages/*/src/**/*.ts', 'packages/*/src/*.ts'], { encoding: 'utf8' })
const offenders = files.split('\n').filter(Boolean).flatMap((file) => {
  const text = readFileSync(file, 'utf8')
  return FORBIDDEN.flatMap(([pattern, reason]) => pattern.test(text) ? [`${file}: ${reason} (${pattern.exec(text)[0]})`] : [])
})
for (const offender of offenders) console.error(offender)
console.log(`platform names stay in platform/: ${offenders.length} files fail`)
process.exitCode = offenders.length === 0 ? 0 : 1
