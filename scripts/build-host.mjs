// Bundles the host program of the platform into one file, which starts faster than many small modules.
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/tanagerusher-host.mjs',
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
