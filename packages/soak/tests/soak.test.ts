import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, it } from 'vitest';
import { findBreaches, runSoak } from '../src/index.js';

const SIZE = { entries: 3, targets: 4, faultsMs: 6_000 };

it.each([
  // Bursts beside processes that take the processor: work for callers that had left.
  100,
  // Two entries stop in turn, then the same: work for callers that had left.
  108,
])('no promise is broken in the run of seed %i', async (seed) => {
  const directory = mkdtempSync(join(tmpdir(), 'parsleyhall-soak-'));
  const history = await runSoak(seed, SIZE, directory);
  expect(findBreaches(history)).toEqual([]);
  rmSync(directory, { recursive: true });
});
