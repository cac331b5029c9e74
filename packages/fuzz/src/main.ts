import { randomInt } from 'node:crypto';
import fc from 'fast-check';
import sade from 'sade';
import { describeHistory } from './describeHistory.js';
import { describeSchedule } from './describeSchedule.js';
import { findViolations } from './findViolations.js';
import { newAnyScheduleArbitrary } from './schedule/newAnyScheduleArbitrary.js';
import type { Schedule } from './schedule/schedule.js';
import { runWorld } from './world/runWorld.js';

const DEFAULT_RUNS = 1_000;
const SEED_LIMIT = 2 ** 31;

interface Options {
  readonly runs: number;
  readonly seed?: number;
  readonly path?: string | number;
  readonly json?: boolean;
}

const describeFailure = (schedule: Schedule): string => {
  const violations = findViolations(schedule);
  const lines = violations.map(
    ({ promise, atMs, subject, detail }) => `  ${atMs} ms: ${promise}: ${subject}: ${detail}`,
  );
  const subjects = violations.map(({ subject }) => subject);
  return [
    'broken:',
    ...lines,
    'schedule:',
    describeSchedule(schedule),
    'seen:',
    describeHistory(runWorld(schedule), subjects),
  ].join('\n');
};

const fuzz = ({ runs, seed = randomInt(SEED_LIMIT), path, json }: Options): void => {
  const property = fc.property(
    newAnyScheduleArbitrary(),
    (schedule) => findViolations(schedule).length === 0,
  );
  const details = fc.check(property, {
    seed,
    numRuns: path === undefined ? runs : 1,
    ...(path === undefined ? {} : { path: String(path) }),
  });
  const schedule = details.counterexample?.[0];
  const violations = schedule === undefined ? [] : findViolations(schedule);
  process.exitCode = details.failed ? 1 : 0;
  if (json === true) {
    const { numRuns, numShrinks, counterexamplePath } = details;
    const summary = { seed, path: counterexamplePath, runs: numRuns, shrinks: numShrinks };
    console.log(JSON.stringify({ ...summary, failed: details.failed, violations, schedule }));
    return;
  }
  if (schedule === undefined) {
    console.log(`seed ${seed}: ${details.numRuns} runs, no promise broken`);
    return;
  }
  console.log(`seed ${seed}: failed in run ${details.numRuns}, ${details.numShrinks} shrinks`);
  console.log(`replay: npm run fuzz -- --seed ${seed} --path ${details.counterexamplePath ?? ''}`);
  console.log(describeFailure(schedule));
};

sade('fuzz', true)
  .describe('Runs random schedules of failures against the reducers and checks every promise.')
  .option('--runs', 'Number of schedules', DEFAULT_RUNS)
  .option('--seed', 'Seed; a new one by default')
  .option('--path', 'Path of one case, as printed after a failure')
  .option('--json', 'Print one line of JSON')
  .action(fuzz)
  .parse(process.argv);
