import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { closeHttp, listenHttp } from '@parsleyhall/common';
import { expect, test } from 'vitest';
import type { DaemonProcess } from './support/daemonProcess.js';
import { startDaemon } from './support/startDaemon.js';

const startTarget = async () => {
  const received: { readonly headers: IncomingHttpHeaders; readonly url: string }[] = [];
  const server = createServer(({ headers, url = '' }, response) => {
    received.push({ headers, url });
    const id = headers['x-request-id'];
    response.writeHead(200, typeof id === 'string' ? { 'x-request-id': id } : {});
    response.end(`served ${url}`);
  });
  const address = await listenHttp(server, { address: '127.0.0.1', port: 0 });
  return { address, received, [Symbol.asyncDispose]: () => closeHttp(server) };
};

const createRoute = (name: string) => ({
  name,
  host: '127.0.0.1',
  pathPrefix: `/${name}/`,
  kind: 'nonIdempotent',
  destinations: [{ service: 'portal', weight: 1 }],
  timeoutMs: 5_000,
  objectiveMs: 500,
  priority: 0,
  maxAttempts: 1,
});

const createDocument = (version: number, routes: readonly string[], address: string) => ({
  version,
  routes: routes.map(createRoute),
  services: [{ name: 'portal', maxConnections: 10 }],
  teams: [{ name: 'branches', keys: ['branch-key'] }],
  targets: [{ id: 'portal-1', service: 'portal', address, dataCentre: 'maadi', slots: 4 }],
});

const startRouter = async (document: unknown) => {
  const directory = mkdtempSync(join(tmpdir(), 'parsleyhall-router-'));
  const routing = join(directory, 'routing.json');
  const write = (next: unknown): void => {
    writeFileSync(routing, typeof next === 'string' ? next : JSON.stringify(next));
  };
  if (document !== undefined) {
    write(document);
  }
  const router: DaemonProcess = await startDaemon('router', {
    process: 'router-1',
    host: 'front-1',
    dataCentre: 'maadi',
    routing,
    callersAddress: '127.0.0.1:0',
    readinessAddress: '127.0.0.1:0',
    metricsAddress: '127.0.0.1:0',
    peers: { ip: '127.0.0.1', port: 0 },
  });
  return {
    router,
    write,
    call: (path: string, headers: Readonly<Record<string, string>> = {}) =>
      fetch(`http://${router.listeners.callers ?? ''}${path}`, {
        method: 'POST',
        headers: { 'x-team-key': 'branch-key', connection: 'close', ...headers },
        body: '{}',
      }),
    [Symbol.asyncDispose]: async () => {
      await router[Symbol.asyncDispose]();
      rmSync(directory, { recursive: true });
    },
  };
};

test('a router serves from a routing document, without a platform', async () => {
  await using target = await startTarget();
  await using system = await startRouter(createDocument(1, ['bindings'], target.address));
  const ready = await fetch(`http://${system.router.listeners.readiness ?? ''}/ready`);
  expect(ready.status).toBe(200);
  const headers = { 'x-request-id': 'r1', 'x-deadline-ms': '4000', 'x-team': 'forged' };
  const answer = await system.call('/bindings/7', headers);
  expect([answer.status, await answer.text()]).toEqual([200, 'served /bindings/7']);
  const [call] = target.received;
  expect(call?.headers).toMatchObject({ 'x-request-id': 'r1', 'x-team': 'branches' });
  expect(call?.headers).not.toHaveProperty('x-team-key');
  expect(Number(call?.headers['x-deadline-ms'])).toBeLessThanOrEqual(4_000);
  expect((await system.call('/bindings/7', { 'x-team-key': 'no-key' })).status).toBe(401);
  expect((await system.call('/other/')).status).toBe(404);
  expect(target.received).toHaveLength(1);
});

test('a newer document becomes active at run time, and a faulty one is logged and ignored', async () => {
  await using target = await startTarget();
  await using system = await startRouter(createDocument(1, ['bindings'], target.address));
  const next = createDocument(2, ['bindings', 'audits'], target.address);
  system.write(next);
  await system.router.waitForLine({ event: 'configurationInForce', version: 2 });
  expect((await system.call('/audits/1')).status).toBe(200);
  system.write({ ...next, version: 3, services: [] });
  const line = await system.router.waitForLine({ event: 'configurationMalformed' });
  expect(line.fault).toContain('routes[0].destinations[0].service');
  expect((await system.call('/audits/1')).status).toBe(200);
});

test('a document that is missing at the start is logged, and becomes active once it exists', async () => {
  await using target = await startTarget();
  await using system = await startRouter(undefined);
  const line = await system.router.waitForLine({ event: 'configurationMalformed' });
  expect(line.fault).toContain('routing.json');
  expect((await system.call('/bindings/1')).status).toBe(503);
  system.write(createDocument(1, ['bindings'], target.address));
  await system.router.waitForLine({ event: 'configurationInForce', version: 1 });
  expect((await system.call('/bindings/1')).status).toBe(200);
});

test('a planned stop exits with code 0', async () => {
  await using target = await startTarget();
  await using system = await startRouter(createDocument(1, ['bindings'], target.address));
  system.router.signal('SIGTERM');
  expect(await system.router.exited).toBe(0);
});
