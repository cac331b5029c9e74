import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { createRecord } from '../support-2/createRecord.mjs';
import { BOUNDS, findFreePort, newHostAddress, startRouter } from '../support-2/startRouter.mjs';
import { sendRequest } from '../support-2/sendRequest.mjs';
import { startStore } from '../support-2/startStore.mjs';
import { startWorker } from '../support-2/startWorker.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Requests within this time of a bound don't count. */
const MARGIN_MS = 100;
const HEARTBEAT_MS = 1200;
const WORK_MS = 100;
const SEND_INTERVAL_MS = 50;
const MACHINES = 2;
/** How long the worker that drains goes on serving: `drainMs` and a little longer. */
const SERVES_ON_MS = BOUNDS.drainMs + 2_000;
/** The other writer's entry is about 40 KB; the store takes records of up to 262,144 bytes. */
const NESTED_ARRAYS = 20_000;
const HOST = 'case.example';
const KEY = 'key-of-the-tenant';

const CONFIGURATION = {
  version: 3,
  routes: [
    {
      name: 'notes',
      host: HOST,
      pathPrefix: '/notes/',
      kind: 'non_idempotent',
      timeoutMs: 1200,
      targetLatencyMs: 400,
      priority: 0,
      service: 'register',
      maxAttempts: 1,
      allowAnonymous: false,
    },
  ],
  services: [{ name: 'register', healthPath: '/healthz', maxConnections: 100 }],
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
  tenants: [{ name: 'tenant-a', apiKeys: [KEY], priority: 1 }],
};

const record = createRecord(import.meta.url);
const runs = new Map();
const answers = [];
const cleanUps = [];

const play = async () => {
  const store = await startStore();
  cleanUps.push(store.close);
  const startBeating = async (id) => {
    const worker = await startWorker({
      id,
      workMs: WORK_MS,
      reportRun: (run) => {
        runs.set(run.attemptId, run);
      },
    });
    cleanUps.push(worker.exit);
    let sequence = 0;
    let state = 'ready';
    const beat = () => {
      sequence += 1;
      store.put('keyed.servers', id, {
        service: 'register',
        address: `127.0.0.1:${worker.port}`,
        zone: 'zone-a',
        version: 'v1',
        slots: 8,
        state,
        coldRemainingMs: 0,
        sequence,
      });
    };
    beat();
    const timer = setInterval(beat, HEARTBEAT_MS);
    cleanUps.push(() => clearInterval(timer));
    return {
      startDraining: () => {
        state = 'draining';
        beat();
      },
      exit: () => {
        clearInterval(timer);
        store.remove('keyed.servers', id);
        worker.exit();
      },
    };
  };

  store.put('keyed.op', 'config', CONFIGURATION);
  const leavers = [await startBeating('i-old-1'), await startBeating('i-old-2')];
  const peerPort = await findFreePort('127.0.0.1');
  const ips = Array.from({ length: MACHINES }, newHostAddress);
  const routers = [];
  const start = async (ip, index) => {
    const router = await startRouter({
      host: `front-${index + 1}`,
      ip,
      storePort: store.port,
      peerPort,
      seeds: ips.map((seed) => `${seed}:1`),
    });
    cleanUps.push(router.stop);
    return router;
  };
  for (const [index, ip] of ips.entries()) {
    routers.push(await start(ip, index));
  }
  const agent = new Agent({ keepAlive: true });
  cleanUps.push(() => agent.destroy());
  const pending = new Set();
  const sender = setInterval(() => {
    routers.forEach((router) => {
      const sent = sendRequest({
        router,
        agent,
        host: HOST,
        path: '/notes/1',
        headers: { 'api-key': KEY, 'x-deadline-ms': '2500' },
        body: 'a note',
      }).then((answer) => {
        pending.delete(sent);
        answers.push({ ...answer, router: router.host });
      });
      pending.add(sent);
    });
  }, SEND_INTERVAL_MS);
  cleanUps.push(() => clearInterval(sender));
  record.add('traffic starts');

  // All machines have run calmly for longer than the stable window.
  await sleep(4_000);
  if (HAS_TROUBLE) {
    const value = `${'['.repeat(NESTED_ARRAYS)}${']'.repeat(NESTED_ARRAYS)}`;
    store.putText('keyed.servers', 'i-of-another-writer', `{"service":${value}}`);
    record.add('another writer puts an entry whose `service` is an array, not a string');
  }
  const releases = [];
  for (const [index, leaving] of leavers.entries()) {
    await sleep(2_000);
    await startBeating(`i-new-${index + 1}`);
    record.add(`i-new-${index + 1} is listed as ready`);
    await sleep(1_000);
    leaving.startDraining();
    const acknowledgedAtMs = performance.now();
    const worker = `i-old-${index + 1}`;
    record.add(`${worker} reports that it drains, which the store has acknowledged`);
    await sleep(SERVES_ON_MS);
    leaving.exit();
    record.add(`${worker} exits and its entry is removed`);
    releases.push({ worker, acknowledgedAtMs, exitedAtMs: performance.now() });
  }
  await sleep(6_000);
  clearInterval(sender);
  await Promise.race([Promise.all(pending), sleep(3_000)]);

  record.add('front-1 is killed and started again');
  await routers[0].stop();
  const isReadyAgain = await start(ips[0], 0).then(
    () => true,
    () => false,
  );
  record.add(isReadyAgain ? 'front-1 is ready again' : 'front-1 is not ready within 15 s');
  return { releases, isReadyAgain };
};

const judge = ({ releases, isReadyAgain }) => {
  const answersById = new Map(answers.map((answer) => [answer.attemptId, answer]));
  answers.forEach(({ attemptId, router, sentAtMs, endedAtMs, status, error }) => {
    const run = runs.get(attemptId);
    record.add(`${attemptId} sent to ${router}`, sentAtMs);
    record.add(`${attemptId} answered ${status ?? error}`, endedAtMs);
    if (run !== undefined) {
      record.add(`${attemptId} runs at ${run.worker}`, run.arrivedAtMs);
    }
  });
  const late = releases.flatMap(({ worker, acknowledgedAtMs }) => {
    const boundMs = acknowledgedAtMs + BOUNDS.drainMs + MARGIN_MS;
    return [...runs.values()].filter(
      (run) =>
        run.worker === worker &&
        run.arrivedAtMs > boundMs &&
        (answersById.get(run.attemptId)?.sentAtMs ?? 0) > boundMs,
    );
  });
  const machines = new Set(late.map(({ attemptId }) => answersById.get(attemptId)?.router));
  const [first] = releases;
  const before = answers.filter(
    ({ sentAtMs, status }) => sentAtMs < first.acknowledgedAtMs - 3_500 && status === 200,
  ).length;
  const after = answers.filter(({ sentAtMs }) => sentAtMs > releases.at(-1).exitedAtMs + MARGIN_MS);
  const servedAfter = after.filter(({ status }) => status === 200).length;
  const summary =
    `${before} requests answered 200 before; ${late.length} requests sent later than drainMs after the acknowledgement ` +
    `reached a worker that drained, from ${machines.size} of ${MACHINES} machines; of ${after.length} sent after both old ` +
    `workers had been replaced ${servedAfter} were served; ` +
    `front-1 started again: ${isReadyAgain ? 'ready' : 'not ready within 15 s'}`;
  record.add(summary);
  console.log(summary);
  if (before < 20) {
    return 2;
  }
  return late.length > 0 ? 1 : 0;
};

let exitCode = 2;
try {
  exitCode = judge(await play());
} catch (error) {
  console.error(error);
} finally {
  for (const cleanUp of cleanUps.reverse()) {
    await cleanUp();
  }
  record.write();
}
process.exit(exitCode);
