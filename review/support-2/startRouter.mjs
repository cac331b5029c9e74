import { spawn } from 'node:child_process';
import { createServer } from 'node:net';
import { request } from 'node:http';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

const ROOT = new URL('../../', import.meta.url);
const READY_WITHIN_MS = 15_000;

/** The bounds of a small deployment, as in the example of the deploy page. */
export const BOUNDS = {
  drainMs: 2000,
  graceS: 8,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  retryWindowS: 10,
  retrySlack: 54,
  quotaWindowS: 8,
  quotaOvershoot: 0.1,
  quotaSlack: 140000,
};

const children = new Set();
process.on('exit', () => {
  children.forEach((child) => child.kill('SIGKILL'));
});
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
  process.on(signal, () => process.exit(2));
}

/** Finds a port that is free now. */
export const findFreePort = (host) =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => {
        resolve(port);
      });
    });
  });

const getValue = (values, path) =>
  path.split('.').reduce((value, name) => value?.[name], values) ?? null;

/** Fills in the template of the deploy file: `{{name}}` and `{{name|json}}`. */
const renderSettings = (values) =>
  readFileSync(new URL('platform/settings.template', ROOT), 'utf8').replace(
    /\{\{([\w.]+)(\|json)?\}\}/g,
    (_, path, json) =>
      json === undefined ? String(getValue(values, path)) : JSON.stringify(getValue(values, path)),
  );

const getStatus = (host, port, path) =>
  new Promise((resolve) => {
    const call = request({ host, port, path, agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    call.once('error', () => {
      resolve(undefined);
    });
    call.end();
  });

/** A loopback address of its own, so that the fixed port of the metrics is free. */
export const newHostAddress = () => {
  const draw = () => 1 + Math.floor(Math.random() * 250);
  return `127.${draw()}.${draw()}.${draw()}`;
};

/** Starts the deployed program with the command of the deploy file and waits until it is ready. */
export const startRouter = async ({ host, ip, storePort, peerPort, seeds = [], output }) => {
  const callersPort = await findFreePort(ip);
  const readinessPort = await findFreePort(ip);
  const folder = mkdtempSync(join(tmpdir(), 'parsleyhall-case-'));
  const settingsPath = join(folder, 'node.json');
  writeFileSync(
    settingsPath,
    renderSettings({
      node: host,
      zone: 'zone-a',
      ip,
      listen: { front: `${ip}:${callersPort}`, ready: `${ip}:${readinessPort}` },
      internalPortRange: [peerPort, peerPort + 15],
      seeds,
      platform: { address: `127.0.0.1:${storePort}` },
      heartbeatMs: 1200,
      bounds: BOUNDS,
      contracts: [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'engine',
        'stream',
        'tenants',
        'quota',
        'platform',
      ],
      limits: { memoryMb: 200, maxFds: 4200 },
    }),
  );
  const child = spawn(
    'node',
    ['--max-old-space-size=120', '--max-semi-space-size=4', 'target/parsleyhall.mjs'],
    {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, PARSLEYHALL_CONFIG: settingsPath },
      stdio: ['ignore', 'pipe', 'inherit'],
    },
  );
  children.add(child);
  child.stdout.on('data', (bytes) => output?.(bytes));
  const exited = new Promise((resolve) => child.once('exit', resolve));
  const stop = async () => {
    child.kill('SIGKILL');
    await exited;
    children.delete(child);
    rmSync(folder, { recursive: true, force: true });
  };
  const startedAtMs = performance.now();
  while ((await getStatus(ip, readinessPort, '/v1/readyz')) !== 200) {
    if (performance.now() - startedAtMs > READY_WITHIN_MS) {
      await stop();
      throw new Error(`${host} was not ready within ${READY_WITHIN_MS} ms`);
    }
    await sleep(50);
  }
  return { host, ip, callersPort, child, stop };
};
