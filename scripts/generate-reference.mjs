// Generates docs/reference/errors.md, settings.md and messages.md from the code. With --check it fails when they are not current.
import { existsSync, readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { pathToFileURL } from 'node:url'
import { z } from 'zod'

const isCheck = process.argv.includes('--check')
const pages = {
  'docs/reference/errors.md': await buildErrorsPage(),
  'docs/reference/settings.md': await buildSettingsPage(),
  'docs/reference/messages.md': await buildMessagesPage()
}
let staleCount = 0
for (const [file, text] of Object.entries(pages)) {
  const current = existsSync(file) ? readFileSync(file, 'utf8') : ''
  if (current === text) continue
  staleCount++
  if (isCheck) console.error(`${file} is not current; run npm run reference`)
  else writeFileSync(file, text)
}
console.log(`reference pages: ${Object.keys(pages).length}, ${isCheck ? 'not current' : 'written'}: ${staleCount}`)
process.exitCode = isCheck && staleCount > 0 ? 1 : 0

async function buildErrorsPage () {
  const { errorsCatalogue } = await importDist('errors', 'catalogue/errors-catalogue')
  const rows = Object.entries(errorsCatalogue).map(([kind, error]) =>
    `| \`${kind}\` | ${error.sqlState} | ${error.httpStatus} | ${error.outcome} | ${error.message} | ${error.hint} |`)
  return ['# Errors', '', 'Made from `packages/errors/src/catalogue/errors-catalogue.ts` by `npm run reference`.', '',
    '| kind | SQLSTATE | HTTP status | outcome | message | hint |', '| --- | --- | --- | --- | --- | --- |', ...rows, ''].join('\n')
}

async function buildSettingsPage () {
  const sections = []
  for (const name of readdirSync('packages').sort()) {
    const directory = `packages/${name}/dist/src/settings`
    if (!existsSync(directory) || name === 'state') continue
    for (const file of readdirSync(directory).filter((entry) => entry.endsWith('-settings.js')).sort()) {
      const schemas = Object.entries(await import(pathToFileURL(`${directory}/${file}`).href)).filter(([key]) => key.endsWith('Schema'))
      for (const [key, schema] of schemas) sections.push(`## ${name}: ${key.replace(/Schema$/, '')}`, '', ...buildFieldTable(schema), '')
    }
  }
  return ['# Settings', '', 'Made from the settings schemas by `npm run reference`. A required setting has no default.', '', ...sections].join('\n')
}

function buildFieldTable (schema) {
  const document = z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' })
  return ['| setting | type | default | meaning |', '| --- | --- | --- | --- |', ...listFields(document, '')]
}

function listFields (document, prefix) {
  return Object.entries(document.properties ?? {}).flatMap(([name, field]) => {
    const path = prefix + name
    const type = field.enum ? field.enum.join(' \\| ') : field.type ?? 'object'
    const defaultCell = field.default === undefined ? (document.required?.includes(name) ? 'required' : '') : `\`${JSON.stringify(field.default)}\``
    const row = `| \`${path}\` | ${type} | ${defaultCell} | ${(field.description ?? '').replaceAll('|', '\\|')} |`
    const nested = field.type === 'array' ? listFields(field.items ?? {}, `${path}[].`) : listFields(field, `${path}.`)
    return [row, ...nested]
  })
}

async function buildMessagesPage () {
  const rows = []
  for (const file of readdirSync('packages/protocol/dist/src/peer').filter((entry) => entry.endsWith('.js')).sort()) {
    for (const definition of Object.values(await importDist('protocol', `peer/${file.replace(/\.js$/, '')}`))) {
      if (typeof definition !== 'object' || definition.method === undefined) continue
      const kind = definition.result === undefined ? 'notification' : 'request'
      const fields = Object.keys(definition.params.shape ?? {}).map((field) => `\`${field}\``).join(', ')
      rows.push(`| \`${definition.method}\` | ${kind} | ${fields} |`)
    }
  }
  return ['# Messages between processes', '', 'Made from `packages/protocol/src/peer/` by `npm run reference`.', '',
    '| method | kind | parameters |', '| --- | --- | --- |', ...rows, ''].join('\n')
}

function importDist (name, path) {
  return import(pathToFileURL(`packages/${name}/dist/src/${path}.js`).href)
}
