import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { createRecord } from '../support-2/createRecord.mjs';
import { BOUNDS, findFreePort, newHostAddress, startRouter } from '../support-2/startRouter.mjs';
import { sendRequest } from '../support-2/sendRequest.mjs';
import { startProxy } from '../support-2/startProxy.mjs';
import { startStore } from '../support-2/startStore.mjs';
import { startWorker } from '../support-2/startWorker.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** How long the store turns one of the three machines away. */
const TURNED_AWAY_MS = 8_500;
/** Requests within this time of the bound don't count. */
const MARGIN_MS = 100;
const HEARTBEAT_MS = 1200;
const SEND_INTERVAL_MS = 100;
const HOST = 'case.example';
const TENANT = 'tenant-a';
const WITHDRAWN_KEY = 'key-that-is-withdrawn';
const KEPT_KEY = 'key-that-is-kept';

const newConfiguration = (version, apiKeys) => ({
  version,
  routes: ['open', 'closed'].map((name) => ({
    name,
    host: HOST,
    pathPrefix: `/${name}/`,
    kind: 'non_idempotent',
    timeoutMs: 1200,
    targetLatencyMs: 400,
    priority: 0,
    service: 'register',
    maxAttempts: 1,
    allowAnonymous: name === 'open',
  })),
  services: [{ name: 'register', healthPath: '/healthz', maxConnections: 100 }],
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
  tenants: [{ name: TENANT, apiKeys, priority: 1 }],
});

const record = createRecord(import.meta.url);
const runs = new Map();
const answers = [];
const cleanUps = [];

const play = async () => {
  const store = await startStore();
  cleanUps.push(store.close);
  const proxy = await startProxy(store.port);
  cleanUps.push(proxy.close);
  const worker = await startWorker({
    id: 'i-worker',
    workMs: 20,
    reportRun: (run) => {
      runs.set(run.attemptId, run);
    },
  });
  cleanUps.push(worker.exit);
  let sequence = 0;
  const beat = () => {
    sequence += 1;
    store.put('keyed.servers', worker.id, {
      service: 'register',
      address: `127.0.0.1:${worker.port}`,
      zone: 'zone-a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      sequence,
    });
  };
  store.put('keyed.op', 'config', newConfiguration(3, [WITHDRAWN_KEY, KEPT_KEY]));
  beat();
  const beats = setInterval(beat, HEARTBEAT_MS);
  cleanUps.push(() => clearInterval(beats));

  const peerPort = await findFreePort('127.0.0.1');
  const ips = [newHostAddress(), newHostAddress(), newHostAddress()];
  const routers = [];
  for (const [index, ip] of ips.entries()) {
    const router = await startRouter({
      host: `front-${index + 1}`,
      ip,
      // The first machine reaches the store through the proxy.
      storePort: index === 0 ? proxy.port : store.port,
      peerPort,
      seeds: ips.map((seed) => `${seed}:1`),
    });
    routers.push(router);
    cleanUps.push(router.stop);
  }
  const agent = new Agent({ keepAlive: true });
  cleanUps.push(() => agent.destroy());
  const pending = new Set();
  const send = (router, name, key) => {
    const sent = sendRequest({
      router,
      agent,
      host: HOST,
      path: `/${name}/1`,
      headers: { 'x-deadline-ms': '2500', ...(key === undefined ? {} : { 'api-key': key }) },
      body: 'a note',
    }).then((answer) => {
      pending.delete(sent);
      answers.push({ ...answer, router: router.host, route: name, key });
    });
    pending.add(sent);
  };
  const sender = setInterval(() => {
    routers.forEach((router) => {
      send(router, 'open', WITHDRAWN_KEY);
      send(router, 'closed', WITHDRAWN_KEY);
      send(router, 'open', undefined);
    });
  }, SEND_INTERVAL_MS);
  cleanUps.push(() => clearInterval(sender));
  record.add('traffic starts');

  await sleep(4_000);
  if (HAS_TROUBLE) {
    proxy.turnAway(true);
    record.add('the store turns front-1 away and serves the others');
  }
  const turnedAwayAtMs = performance.now();
  await sleep(200);
  store.put('keyed.op', 'config', newConfiguration(5, [KEPT_KEY]));
  const acknowledgedAtMs = performance.now();
  record.add(`version 5 without the key ${WITHDRAWN_KEY} is acknowledged by the store`);
  await sleep(turnedAwayAtMs + TURNED_AWAY_MS - performance.now());
  proxy.turnAway(false);
  record.add('the store serves front-1 again');
  await sleep(3_000);
  clearInterval(sender);
  await Promise.race([Promise.all(pending), sleep(3_000)]);
  return acknowledgedAtMs;
};

const judge = (acknowledgedAtMs) => {
  const boundMs = acknowledgedAtMs + BOUNDS.revokeMs + MARGIN_MS;
  const seen = answers.map((answer) => {
    const run = runs.get(answer.attemptId);
    const tenant = run?.headers['x-tenant'];
    const what = `${answer.attemptId} ${answer.router} /${answer.route}/ ${answer.key ?? 'no key'}`;
    record.add(`${what} sent`, answer.sentAtMs);
    record.add(`${what} answered ${answer.status ?? answer.error}`, answer.endedAtMs);
    if (run !== undefined) {
      record.add(`${what} runs with X-Tenant ${tenant ?? '(none)'}`, run.arrivedAtMs);
    }
    return { ...answer, hasRun: run !== undefined, tenant };
  });
  const withdrawn = seen.filter(({ key }) => key === WITHDRAWN_KEY);
  const late = withdrawn.filter(({ sentAtMs }) => sentAtMs > boundMs);
  const broken = late.filter(({ hasRun, tenant }) => hasRun && tenant !== undefined);
  const before = withdrawn.filter(
    ({ sentAtMs, tenant }) => sentAtMs < acknowledgedAtMs && tenant === TENANT,
  );
  const countBroken = (route) => broken.filter((one) => one.route === route).length;
  const summary =
    `${withdrawn.length} requests with the key, ${before.length} ran for ${TENANT} before it was withdrawn; ` +
    `${late.length} sent later than revokeMs after the acknowledgement, of which ${broken.length} ran with X-Tenant ${TENANT}, ` +
    `which no longer holds the key (/open/: ${countBroken('open')}, /closed/: ${countBroken('closed')}; ` +
    `at ${[...new Set(broken.map(({ router }) => router))].join(', ') || 'no machine'})`;
  record.add(summary, performance.now());
  console.log(summary);
  if (before.length < 10 || late.length < 10) {
    return 2;
  }
  return broken.length > 0 ? 1 : 0;
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
