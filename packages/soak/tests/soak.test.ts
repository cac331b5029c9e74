import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, it } from 'vitest';
import { findViolations, runSoak } from '../src/index.js';

const SIZE = { entries: 3, targets: 4, faultDurationMs: 6_000 };

it.each([
  // Bursts while busy-looping processes starve the CPU: requests ran whose callers had disconnected.
  100,
  // Two entries shut down in turn, then a burst while busy-looping processes starve the CPU: the same failure.
  108,
])('no guarantee is violated in the run of seed %i', async (seed) => {
  const directory = mkdtempSync(join(tmpdir(), 'parsleyhall-soak-'));
  const history = await runSoak(seed, SIZE, directory);
  expect(findViolations(history)).toEqual([]);
  rmSync(directory, { recursive: true });
});
