import { build } from 'esbuild';
import { replaceAssertions } from './bundling/replaceAssertions.mjs';

const [directory = 'target', program = 'platform/src/main.ts'] = process.argv.slice(2);

// One file a program, so that a process starts fast.
await build({
  entryPoints: { parsleyhall: program },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  outdir: directory,
  outExtension: { '.js': '.mjs' },
  conditions: ['parsleyhall-source'],
  external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'source-map-support'],
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  minify: true,
  legalComments: 'none',
  plugins: [replaceAssertions],
});
