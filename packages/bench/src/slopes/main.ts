import { writeFile } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import { exitOnSignals } from '../cluster/exitOnSignals.js';
import { getCommit } from '../measure/getCommit.js';
import { formatTable } from '../report/formatTable.js';
import type { HeapSlope } from './heapSlope.js';
import { measureProcesses } from './measureProcesses.js';
import { measureHeapBytes } from './measureHeapBytes.js';
import { newEntryScenario } from './newEntryScenario.js';
import { newSideScenario } from './newSideScenario.js';
import type { ScenarioSize } from './scenarioSize.js';
import type { SlopeRow } from './slopeRow.js';
import { SLOPE_SIZES } from './slopeSizes.js';
import { timeSteps } from './timeSteps.js';

const BYTES_PER_MEGABYTE = 1_000_000;
const HEAP_REPEATS = 5;
const STEP_TIME_MS = 200;
const BASE: ScenarioSize = { waiting: 100, peers: 3, teams: 5 };
const SCENARIOS = { entry: newEntryScenario, side: newSideScenario } as const;
const ROLES = ['entry', 'side'] as const;
const DIMENSIONS = ['waiting', 'peers', 'teams'] as const;

exitOnSignals();
const { values } = parseArgs({
  options: {
    json: { type: 'string', default: '' },
    time: { type: 'string', default: String(STEP_TIME_MS) },
  },
});

const measureHeapSlope = (
  role: (typeof ROLES)[number],
  dimension: keyof ScenarioSize,
): HeapSlope => {
  const sizes = SLOPE_SIZES[dimension];
  const [small, large] = [sizes[0], sizes[2]];
  const measureAt = (size: number): number =>
    measureHeapBytes(() => SCENARIOS[role]({ ...BASE, [dimension]: size }).state);
  measureAt(large);
  const slopes = Array.from(
    { length: HEAP_REPEATS },
    () => (measureAt(large) - measureAt(small)) / (large - small),
  ).sort((left, right) => left - right);
  return { role, dimension, bytesEach: slopes[Math.floor(HEAP_REPEATS / 2)] ?? Number.NaN };
};

const rows: SlopeRow[] = [];
const heap: HeapSlope[] = [];
for (const role of ROLES) {
  for (const dimension of DIMENSIONS) {
    heap.push(measureHeapSlope(role, dimension));
    for (const size of SLOPE_SIZES[dimension]) {
      const scenario = SCENARIOS[role]({ ...BASE, [dimension]: size });
      const timeMs = Number(values.time);
      rows.push(...(await timeSteps({ role, dimension, size, scenario, timeMs })));
    }
  }
}

const processes = await measureProcesses();
const commit = await getCommit();
const tables = [
  `reducers, median of ${values.time} ms a step, commit ${commit}`,
  formatTable(
    ['role', 'step', 'grows', 'size', 'µs an event', 'events a second'],
    rows.map((row) => [
      row.role,
      row.step,
      row.dimension,
      row.size,
      row.microsecondsPerEvent.toFixed(2),
      Math.round(row.eventsPerSecond),
    ]),
  ),
  formatTable(
    ['role', 'one more', 'heap bytes'],
    heap.map(({ role, dimension, bytesEach }) => [role, dimension, Math.round(bytesEach)]),
  ),
  'whole processes: 2 entries and 4 side processes, 3 engines and a plain service',
  formatTable(
    ['role', 'idle % of a core', 'resident MB', 'µs a request', 'µs a streamed token'],
    processes.map((row) => [
      row.role,
      (row.idleCoreShare * 100).toFixed(2),
      Math.round(row.residentBytes / BYTES_PER_MEGABYTE),
      Math.round(row.microsecondsPerRequest),
      Math.round(row.microsecondsPerToken),
    ]),
  ),
];
process.stdout.write(`${tables.join('\n')}\n`);
if (values.json !== '') {
  await writeFile(values.json, `${JSON.stringify({ commit, rows, heap, processes }, null, 2)}\n`);
}
