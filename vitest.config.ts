import { defineConfig } from 'vitest/config';

export default defineConfig({
  resolve: { conditions: ['parsleyhall-source'] },
  ssr: {
    resolve: { conditions: ['parsleyhall-source'], externalConditions: ['parsleyhall-source'] },
  },
  test: {
    include: ['packages/*/src/**/*.test.ts', '{packages/*,platform}/tests/**/*.test.ts'],
    pool: 'forks',
    deps: { interopDefault: false },
    testTimeout: 120_000,
    hookTimeout: 120_000,
  },
});
