import neostandard from 'neostandard'

// Layout rules only: the formatter of Standard style.
export default neostandard({ ts: true, ignores: ['**/dist/**', 'node_modules/**', 'results/**', 'target/**'] })
  .map((config) => config.rules === undefined ? config : { ...config, rules: chooseLayoutRules(config.rules) })

function chooseLayoutRules (rules) {
  return Object.fromEntries(Object.entries(rules).filter(([name]) => name.startsWith('@stylistic/')))
}
