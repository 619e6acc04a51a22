// Bundles the host program of the platform, because a bundle starts faster than many small modules. Dynamic imports become separate files.
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
  // CommonJS packages call require for the built-in modules of Node.js.
  banner: { js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);" },
  logLevel: 'warning'
})
