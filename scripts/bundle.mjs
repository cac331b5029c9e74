import { build } from 'esbuild';

// One file a program, so that a process starts fast.
await build({
  entryPoints: { parsleyhall: 'platform/src/main.ts' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  conditions: ['parsleyhall-source'],
  external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'source-map-support'],
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  minify: true,
  legalComments: 'none',
});
