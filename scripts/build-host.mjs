// Bundles the host program of the platform, which starts faster than many small modules. What is loaded late is a file apart.
import { build } from 'esbuild'

await build({
  entryPoints: { 'tanagerusher-host': 'platform/src/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  splitting: true,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  minifyWhitespace: true,
  // Packages of the CommonJS kind call require for Node's own modules.
  banner: { js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);" },
  logLevel: 'warning'
})
