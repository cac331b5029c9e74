import { fileURLToPath } from 'node:url';

const ASSERTIONS_PATH = fileURLToPath(new URL('assertions.cjs', import.meta.url));
const STRICT_NAMESPACE = 'strict-assertions';

/** Replaces node:assert in all bundled modules, except in the module that takes its place. */
export const replaceAssertions = {
  name: 'replaceAssertions',
  setup: (build) => {
    build.onResolve({ filter: /^(node:)?assert$/ }, ({ importer, path }) =>
      importer === ASSERTIONS_PATH ? { path, external: true } : { path: ASSERTIONS_PATH },
    );
    build.onResolve({ filter: /^(node:)?assert\/strict$/ }, ({ path }) => ({
      path,
      namespace: STRICT_NAMESPACE,
    }));
    build.onLoad({ filter: /.*/, namespace: STRICT_NAMESPACE }, () => ({
      contents: `module.exports = require(${JSON.stringify(ASSERTIONS_PATH)}).strict;`,
      resolveDir: '.',
    }));
  },
};
