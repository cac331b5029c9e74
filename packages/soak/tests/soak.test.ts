import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, it } from 'vitest';
import { findViolations, runSoak } from '../src/index.js';

/** A run in which a target states a limit, and no entry is disturbed. */
const LIMIT_SEED = 943;

const SIZE = { entries: 3, targets: 4, faultDurationMs: 6_000 };

it.each([
  // Bursts while busy-looping processes starve the CPU: requests ran whose callers had disconnected.
  100,
  // Two entries shut down in turn, then a burst while busy-looping processes starve the CPU: the same failure.
  108,
  // Two poison parts at once, beside a starved processor, a slow target and one that resets.
  501,
])('no guarantee is violated in the run of seed %i', async (seed) => {
  const directory = mkdtempSync(join(tmpdir(), 'parsleyhall-soak-'));
  const history = await runSoak(seed, SIZE, directory);
  expect(findViolations(history)).toEqual([]);
  rmSync(directory, { recursive: true });
});

// Shows that the checks find what they are there for.
it.each([
  ['crashedOn', 'trustedParts', 501],
  ['beyondLimit', 'unstatedLimits', LIMIT_SEED],
] as const)(
  '%s is found in a run with a planted fault (%s)',
  async (guarantee, plantedFault, seed) => {
    const directory = mkdtempSync(join(tmpdir(), 'parsleyhall-soak-'));
    const history = await runSoak(seed, { ...SIZE, plantedFault }, directory);
    expect(findViolations(history).map((violation) => violation.guarantee)).toContain(guarantee);
    rmSync(directory, { recursive: true });
  },
);
