import { writeFile } from 'node:fs/promises';
import { loadavg } from 'node:os';
import { drawSchedule } from '../workload/drawSchedule.js';
import { checkBounds } from './checkBounds.js';
import { FAULT_TIMES } from './faultTimes.js';
import { formatResults } from './formatResults.js';
import { getCommit } from './getCommit.js';
import type { MeasureOptions } from './measureOptions.js';
import { measurePolicy } from './measurePolicy.js';
import type { PolicyResult } from './policyResult.js';

const MAXIMUM_STEP_LATE_MS = 3;

const getLoadAverage = (): string =>
  loadavg()
    .map((load) => load.toFixed(1))
    .join(' ');

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

/** Measures the policies one after the other on the same arrivals and prints the tables. */
export const measure = async (options: MeasureOptions): Promise<void> => {
  const { deployment, load, durationMs, timeScale, seed, fault, without } = options;
  const { from, until, burstFactor } = FAULT_TIMES;
  const factor = fault === 'burst' ? burstFactor : 1;
  const burst = { from, until, factor };
  const calls = drawSchedule({ deployment, load, durationMs, timeScale, seed, burst });
  const commit = await getCommit();
  print(
    `${deployment.name}, load ${load}, fault ${fault}${without === '' ? '' : `, without ${without}`}, seed ${seed}, ${durationMs} ms of arrivals at ${timeScale} engine ms a ms, ${calls.length} calls, commit ${commit}`,
  );
  const results: PolicyResult[] = [];
  for (const policy of options.policies) {
    results.push(await measurePolicy(options, policy, calls));
  }
  print(formatResults(results));
  if (results.some(({ report }) => report.meanStepLateMs > MAXIMUM_STEP_LATE_MS)) {
    print(
      `the machine was too busy for this load (load average ${getLoadAverage()}): do not use these figures`,
    );
  }
  const [first, ...others] = results;
  const bounds = first === undefined ? [] : checkBounds(first, others, fault);
  for (const { name, limit, measured, isMet } of bounds) {
    print(
      `${isMet ? 'met   ' : 'MISSED'} ${name}: ${measured.toFixed(3)} (bound ${limit.toFixed(3)})`,
    );
  }
  if (options.jsonFile !== undefined) {
    const { name } = deployment;
    const setting = { deployment: name, load, without, fault, seed, durationMs, timeScale, commit };
    const document = { setting, results, bounds };
    await writeFile(options.jsonFile, `${JSON.stringify(document, null, 2)}\n`);
  }
};
