import { randomInt } from 'node:crypto';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { MS_PER_SECOND } from '@parsleyhall/common';
import sade from 'sade';
import { findBreaches } from './checks/findBreaches.js';
import { runSoak } from './runSoak.js';

const DEFAULT_RUNS = 5;
const DEFAULT_SECONDS = 8;
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

const soak = async ({ runs, seed = randomInt(SEED_LIMIT), ...size }: Options): Promise<void> => {
  for (let own = seed; own < seed + runs; own += 1) {
    const directory = join(tmpdir(), `parsleyhall-soak-${process.pid}`, String(own));
    const { entries, targets, seconds } = size;
    const faultsMs = seconds * MS_PER_SECOND;
    const history = await runSoak(own, { entries, targets, faultsMs }, directory);
    const breaches = findBreaches(history);
    const whole = history.requests.filter(
      ({ isWhole, status }) => isWhole && status === 200,
    ).length;
    const left = history.requests.filter(({ leftMs }) => leftMs !== undefined).length;
    console.log(
      `seed ${own}: ${history.requests.length} requests, ${whole} served, ${left} left, ${breaches.length} breaches`,
    );
    for (const { promise, detail } of breaches) {
      console.log(`  ${promise}: ${detail}`);
    }
    if (breaches.length > 0) {
      process.exitCode = 1;
      console.log(`  lines and history: ${directory}`);
    }
  }
};

sade('soak', true)
  .describe(
    'Runs entries as processes, lets random faults happen, and checks what callers and targets saw.',
  )
  .option('--runs', 'Number of seeds', DEFAULT_RUNS)
  .option('--seed', 'First seed; a new one by default')
  .option('--seconds', 'How long faults happen in a run', DEFAULT_SECONDS)
  .option('--entries', 'Entries', DEFAULT_ENTRIES)
  .option('--targets', 'Targets', DEFAULT_TARGETS)
  .action(soak)
  .parse(process.argv);
