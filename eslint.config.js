import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'node_modules/**', 'results/**', 'target/**'] }),
  { rules: { 'no-use-before-define': 'off', '@typescript-eslint/no-use-before-define': 'off', '@typescript-eslint/no-redeclare': 'off', 'no-void': 'off' } }
]
