import { once } from 'node:events';
import { parseArgs } from 'node:util';
import { v7 } from 'uuid';
import { exitOnSignals } from '../cluster/exitOnSignals.js';
import { publishDocument } from '../cluster/publishDocument.js';
import { runOperator } from '../cluster/runOperator.js';
import { startCluster } from '../cluster/startCluster.js';
import { runMeasuredSchedule } from '../load/runMeasuredSchedule.js';
import { newRunReport } from '../report/newRunReport.js';
import { drawSchedule } from '../workload/drawSchedule.js';
import { newDocument } from '../workload/newDocument.js';
import { DEMO_DEPLOYMENTS } from './demoDeployments.js';
import { findDemoFaults } from './findDemoFaults.js';
import { formatDemoTable } from './formatDemoTable.js';
import { newDemoPlan } from './newDemoPlan.js';
import { printCurlLines } from './printCurlLines.js';
import { sendBindingTwice } from './sendBindingTwice.js';

const TIME_SCALE = 1;
const DURATION_MS = 10_000;
const LOAD_OF_EACH = 0.3;
const SEED = 1;
const NO_BURST = { from: 0, until: 0, factor: 1 };
const MAXIMUM_FAULTS_SHOWN = 20;

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

exitOnSignals();
const { values } = parseArgs({ options: { keep: { type: 'boolean', default: false } } });
const [deployment] = DEMO_DEPLOYMENTS;
const servicePool = deployment?.servicePool ?? '';

await using cluster = await startCluster(newDemoPlan(DEMO_DEPLOYMENTS));
print(`${cluster.getPids().length} processes run; their logs are in ${cluster.folder}`);
await publishDocument(cluster, newDocument(DEMO_DEPLOYMENTS, TIME_SCALE));
print('configuration published with the presets ordinary, peak and maintenance');

const calls = DEMO_DEPLOYMENTS.flatMap((each, place) =>
  drawSchedule({
    deployment: each,
    load: LOAD_OF_EACH,
    durationMs: DURATION_MS,
    timeScale: TIME_SCALE,
    seed: SEED + place,
    burst: NO_BURST,
  }),
).sort((left, right) => left.atMs - right.atMs);

const running = runMeasuredSchedule(cluster, calls, TIME_SCALE);
const bindingKey = v7();
const sendingBinding = sendBindingTwice(cluster, servicePool, bindingKey);
const switching = new Promise((resolve) => setTimeout(resolve, DURATION_MS / 2)).then(async () => {
  await runOperator(cluster, 'preset', 'use', 'peak');
  print('preset peak put in force');
});
const [record, bindings] = await Promise.all([running, sendingBinding, switching]);
const report = newRunReport(record);

print(formatDemoTable(report));
print(`answers to the binding sent twice: ${bindings.map(({ status }) => status).join(', ')}`);
const faults = findDemoFaults({ record, report, bindings, bindingKey });
faults.slice(0, MAXIMUM_FAULTS_SHOWN).forEach((fault) => {
  print(`FAULT ${fault}`);
});
print(faults.length === 0 ? 'every answer arrived whole' : `${faults.length} faults`);
process.exitCode = faults.length === 0 ? 0 : 1;

if (values.keep) {
  printCurlLines(cluster, deployment?.model ?? '', servicePool);
  print('it stays up until interrupted');
  process.removeAllListeners('SIGINT');
  await once(process, 'SIGINT');
}
