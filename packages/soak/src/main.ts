import { randomInt } from 'node:crypto';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { MS_PER_SECOND } from '@parsleyhall/common';
import sade from 'sade';
import { findViolations } from './checks/findViolations.js';
import { runSoak } from './runSoak.js';

const DEFAULT_RUNS = 5;
const DEFAULT_FAULT_SECONDS = 8;
const DEFAULT_ENTRIES = 3;
const DEFAULT_TARGETS = 4;
const SEED_LIMIT = 2 ** 31;

interface Options {
  readonly runs: number;
  readonly seed?: number;
  readonly seconds: number;
  readonly entries: number;
  readonly targets: number;
}

const runSeeds = async ({
  runs,
  seed = randomInt(SEED_LIMIT),
  ...soakSize
}: Options): Promise<void> => {
  for (let runSeed = seed; runSeed < seed + runs; runSeed += 1) {
    const directory = join(tmpdir(), `parsleyhall-soak-${process.pid}`, String(runSeed));
    const { entries, targets, seconds } = soakSize;
    const faultDurationMs = seconds * MS_PER_SECOND;
    const history = await runSoak(runSeed, { entries, targets, faultDurationMs }, directory);
    const violations = findViolations(history);
    const servedCount = history.requests.filter(
      ({ isWhole, status }) => isWhole && status === 200,
    ).length;
    const abortedCount = history.requests.filter(({ leftMs }) => leftMs !== undefined).length;
    console.log(
      `seed ${runSeed}: ${history.requests.length} requests, ${servedCount} served, ${abortedCount} aborted by their callers, ${violations.length} violations`,
    );
    for (const { guarantee, detail } of violations) {
      console.log(`  ${guarantee}: ${detail}`);
    }
    if (violations.length > 0) {
      process.exitCode = 1;
      console.log(`  logs and history: ${directory}`);
    }
  }
};

sade('soak', true)
  .describe(
    'Runs entries as processes, injects random faults, and checks what callers and targets observed.',
  )
  .option('--runs', 'Number of seeds', DEFAULT_RUNS)
  .option('--seed', 'First seed; random by default')
  .option('--seconds', 'Length of the fault phase of each run, in seconds', DEFAULT_FAULT_SECONDS)
  .option('--entries', 'Number of entries', DEFAULT_ENTRIES)
  .option('--targets', 'Number of targets', DEFAULT_TARGETS)
  .action(runSeeds)
  .parse(process.argv);
