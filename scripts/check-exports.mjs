// Fails when a source file exports more than one class, function, constant, interface or enum.
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'

const VALUE_EXPORT = /^export (default |abstract |async )*(class|function|const|let|interface|enum)\b/gm
const files = execFileSync('git', ['ls-files', '-co', '--exclude-standard', 'packages/*/src/**/*.ts', 'packages/*/src/*.ts', 'platform/src/**/*.ts', 'platform/src/*.ts'], { encoding: 'utf8' })
const offenders = files.split('\n').filter(Boolean).flatMap((file) => {
  const count = readFileSync(file, 'utf8').match(VALUE_EXPORT)?.length ?? 0
  return count > 1 ? [`${file}: ${count} exports`] : []
})
for (const offender of offenders) console.error(offender)
console.log(`one export a file: ${offenders.length} files fail`)
process.exitCode = offenders.length === 0 ? 0 : 1
