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
const WORK_MS = 200;
const SEND_INTERVAL_MS = 15;
/** Besides the one that leaves. */
const OTHER_WORKERS = [
  'i-stays-1',
  'i-stays-2',
  'i-stays-3',
  'i-stays-4',
  'i-stays-5',
  'i-stays-6',
];
/** How long the worker is cut off from the store. */
const CUT_MS = 2_500;
/** When the call that got no response is executed, after it was sent. */
const EXECUTED_AFTER_MS = 5_000;
/** How long the worker that drains goes on serving: `drainMs` and a little longer. */
const SERVES_ON_MS = BOUNDS.drainMs + 1_500;
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
  const bornMs = Date.now();
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
    let isCutOff = false;
    let hasGone = false;
    let isCallUnderWay = false;
    const beat = () => {
      sequence += 1;
      const entry = {
        service: 'register',
        address: `127.0.0.1:${worker.port}`,
        zone: 'zone-a',
        version: 'v1',
        slots: 8,
        state,
        coldRemainingMs: 0,
        born: bornMs,
        sequence,
      };
      if (!isCutOff) {
        store.put('keyed.servers', id, entry);
        return;
      }
      // The first call of the cut gets no response and is executed seconds later; the others aren't made meanwhile.
      if (isCallUnderWay) {
        sequence -= 1;
        return;
      }
      isCallUnderWay = true;
      record.add(`${id} writes ${state}, sequence ${entry.sequence}, and gets no response`);
      const timer = setTimeout(() => {
        if (!hasGone) {
          store.put('keyed.servers', id, entry);
          record.add(`the call with ${entry.state}, sequence ${entry.sequence}, is executed late`);
        }
      }, EXECUTED_AFTER_MS);
      cleanUps.push(() => clearTimeout(timer));
    };
    beat();
    let timer = setInterval(beat, HEARTBEAT_MS);
    cleanUps.push(() => clearInterval(timer));
    return {
      beat,
      setCutOff: (isCut) => {
        isCutOff = isCut;
      },
      startDraining: () => {
        state = 'draining';
        beat();
        clearInterval(timer);
        timer = setInterval(beat, HEARTBEAT_MS);
        return sequence;
      },
      exit: () => {
        hasGone = true;
        clearInterval(timer);
        store.remove('keyed.servers', id);
        worker.exit();
      },
    };
  };

  store.put('keyed.op', 'config', CONFIGURATION);
  const leaving = await startBeating('i-leaves');
  for (const id of OTHER_WORKERS) {
    await startBeating(id);
  }
  const router = await startRouter({
    host: 'front-1',
    ip: newHostAddress(),
    storePort: store.port,
    peerPort: await findFreePort('127.0.0.1'),
  });
  cleanUps.push(router.stop);
  const agent = new Agent({ keepAlive: true });
  cleanUps.push(() => agent.destroy());
  const pending = new Set();
  const sender = setInterval(() => {
    const sent = sendRequest({
      router,
      agent,
      host: HOST,
      path: '/notes/1',
      headers: { 'api-key': KEY, 'x-deadline-ms': '2500' },
      body: 'a note',
    }).then((answer) => {
      pending.delete(sent);
      answers.push(answer);
    });
    pending.add(sent);
  }, SEND_INTERVAL_MS);
  cleanUps.push(() => clearInterval(sender));
  record.add('traffic starts');

  await sleep(4_000);
  if (HAS_TROUBLE) {
    leaving.setCutOff(true);
    record.add('i-leaves is cut off from the store');
    leaving.beat();
  }
  await sleep(CUT_MS);
  leaving.setCutOff(false);
  record.add('i-leaves reaches the store again');
  const sequence = leaving.startDraining();
  const acknowledgedAtMs = performance.now();
  record.add(`i-leaves reports draining, sequence ${sequence}, which the store has acknowledged`);
  await sleep(SERVES_ON_MS);
  leaving.exit();
  const exitedAtMs = performance.now();
  record.add('i-leaves exits and its entry is removed');
  await sleep(2_000);
  clearInterval(sender);
  await Promise.race([Promise.all(pending), sleep(3_000)]);
  return { acknowledgedAtMs, exitedAtMs };
};

const judge = ({ acknowledgedAtMs, exitedAtMs }) => {
  const boundMs = acknowledgedAtMs + BOUNDS.drainMs + MARGIN_MS;
  const answersById = new Map(answers.map((answer) => [answer.attemptId, answer]));
  answers.forEach(({ attemptId, sentAtMs, endedAtMs, status, error }) => {
    const run = runs.get(attemptId);
    record.add(`${attemptId} sent`, sentAtMs);
    record.add(`${attemptId} answered ${status ?? error}`, endedAtMs);
    if (run !== undefined) {
      record.add(`${attemptId} runs at ${run.worker}`, run.arrivedAtMs);
    }
  });
  const late = [...runs.values()].filter(
    ({ worker, arrivedAtMs, attemptId }) =>
      worker === 'i-leaves' &&
      arrivedAtMs > boundMs &&
      (answersById.get(attemptId)?.sentAtMs ?? 0) > boundMs,
  );
  const lost = late.filter(({ attemptId }) => answersById.get(attemptId)?.status !== 200);
  const before = [...runs.values()].filter(
    ({ worker, arrivedAtMs }) => worker === 'i-leaves' && arrivedAtMs < acknowledgedAtMs,
  ).length;
  const inDrain = [...runs.values()].filter(
    ({ worker, arrivedAtMs }) =>
      worker === 'i-leaves' && arrivedAtMs > acknowledgedAtMs + 1_500 && arrivedAtMs <= boundMs,
  ).length;
  const summary =
    `${answers.length} requests; i-leaves ran ${before} before it drained and ${inDrain} from 1.5 s after until the bound; ` +
    `${late.length} sent later than drainMs after the acknowledgement reached it, and ${lost.length} of these were lost as it exited ` +
    `${Math.round(exitedAtMs - acknowledgedAtMs)} ms after the acknowledgement`;
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
