import { defineConfig } from 'vitest/config';

/** Tests that measure the memory of a process under load; they run one file at a time, after all others. */
const SEQUENTIAL_TESTS = 'packages/router/tests/uncontrolledCallers/**/*.test.ts';

export default defineConfig({
  resolve: { conditions: ['parsleyhall-source'] },
  ssr: {
    resolve: { conditions: ['parsleyhall-source'], externalConditions: ['parsleyhall-source'] },
  },
  test: {
    pool: 'forks',
    deps: { interopDefault: false },
    testTimeout: 120_000,
    hookTimeout: 120_000,
    projects: [
      {
        extends: true,
        test: {
          name: 'parallel',
          include: ['packages/*/src/**/*.test.ts', '{packages/*,platform}/tests/**/*.test.ts'],
          exclude: ['**/node_modules/**', SEQUENTIAL_TESTS],
          sequence: { groupOrder: 0 },
        },
      },
      {
        extends: true,
        test: {
          name: 'sequential',
          include: [SEQUENTIAL_TESTS],
          fileParallelism: false,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
