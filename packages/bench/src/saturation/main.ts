import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { MS_PER_SECOND } from '@parsleyhall/common';
import { startEngineStandIn, type EngineStats } from '@parsleyhall/stand-ins';
import { Agent, request } from 'undici';
import { callJson } from '../cluster/callJson.js';
import { newHttpCall } from '../load/newHttpCall.js';
import type { PlannedCall } from '../load/plannedCall.js';
import { formatTable } from '../report/formatTable.js';
import { BUREAU } from '../workload/bureau.js';
import type { Deployment } from '../workload/deployment.js';
import { drawSchedule } from '../workload/drawSchedule.js';
import { getEngineSettings } from '../workload/getEngineSettings.js';
import { getTokensCostMs } from '../workload/getTokensCostMs.js';
import { NILEGATE } from '../workload/nilegate.js';
import { RATED_BATCH } from '../workload/ratedBatch.js';

const TIME_SCALE = 2;
const DURATION_MS = 10_000;
const WARM_UP_MS = 3_000;
const CALLS_DURATION_MS = 60_000;
const SEED = 1;

const saturate = async (
  deployment: Deployment,
  speedFactor: number,
  concurrency: number,
): Promise<number> => {
  const models = [deployment.model];
  await using engine = await startEngineStandIn(
    getEngineSettings({ models, speedFactor, timeScale: TIME_SCALE, seed: SEED }),
  );
  const dispatcher = new Agent();
  const calls = drawSchedule({
    deployment,
    load: 1,
    durationMs: CALLS_DURATION_MS,
    timeScale: TIME_SCALE,
    seed: SEED,
    burst: { from: 0, until: 0, factor: 1 },
  }).filter(({ work }) => work.type === 'engine');
  const untilMs = performance.now() + DURATION_MS;
  let next = 0;

  const send = async (call: PlannedCall): Promise<void> => {
    const http = newHttpCall(call, call);
    const { method, path, headers, body } = http;
    const answer = await request(`http://${engine.address}${path}`, {
      dispatcher,
      method,
      headers,
      body,
    });
    await answer.body.dump({ limit: Number.POSITIVE_INFINITY });
  };
  const work = async (): Promise<void> => {
    while (performance.now() < untilMs) {
      const call = calls[next % calls.length];
      next += 1;
      if (call !== undefined) {
        await send(call);
      }
    }
  };
  const readStats = async (): Promise<EngineStats> =>
    (await callJson(engine.address, '/control/stats')) as EngineStats;
  const working = Promise.all(Array.from({ length: concurrency }, work));
  await sleep(WARM_UP_MS);
  const before = await readStats();
  await sleep(untilMs - performance.now());
  const after = await readStats();
  await working;
  await dispatcher.destroy();
  const doneMs = getTokensCostMs(
    after.prefillTokensComputed - before.prefillTokensComputed,
    after.decodeTokens - before.decodeTokens,
  );
  return doneMs / ((after.elapsedMs - before.elapsedMs) * speedFactor);
};

const { values } = parseArgs({ options: { speed: { type: 'string', default: '1' } } });
const speed = Number(values.speed);
const rows: (string | number)[][] = [];
for (const deployment of [NILEGATE, BUREAU]) {
  for (const concurrency of [RATED_BATCH / 2, RATED_BATCH, RATED_BATCH * 2]) {
    const share = await saturate(deployment, speed, concurrency);
    rows.push([deployment.name, speed, concurrency, share.toFixed(3)]);
  }
}
const head = ['deployment', 'speed', 'requests at once', 'work done of rated capacity'];
process.stdout.write(`${formatTable(head, rows)}\n`);
process.stdout.write(`closed loop, ${DURATION_MS / MS_PER_SECOND} s each, seed ${SEED}\n`);
