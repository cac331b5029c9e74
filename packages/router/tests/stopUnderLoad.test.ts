import { Agent, createServer, request as sendHttp } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { expect, it } from 'vitest';
import type { RawTarget } from './support/rawTarget.js';
import { startTestRouter } from './support/startTestRouter.js';

const CALLERS = 24;

/** A target that answers each request a moment after it has arrived, and counts the requests by attempt id. */
const startCountingTarget = async () => {
  const arrivals = new Map<string, number>();
  const server = createServer((request, response) => {
    const attempt = String(request.headers.attempt);
    arrivals.set(attempt, (arrivals.get(attempt) ?? 0) + 1);
    setTimeout(() => {
      response.writeHead(200, { seal: 's', attempt, 'content-length': '2' });
      response.end('ok');
    }, 3);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    arrivals,
    target: {
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    } as RawTarget,
    [Symbol.asyncDispose]: () =>
      new Promise<void>((resolve) => {
        server.closeAllConnections();
        server.close(() => {
          resolve();
        });
      }),
  };
};

type Outcome = 'whole' | 'cut' | 'refused' | 'notAccepted';

const send = (address: string, attempt: string, agent: Agent): Promise<Outcome> =>
  new Promise((resolve) => {
    const call = sendHttp(
      `http://${address}/nonIdempotent/x`,
      { agent, headers: { attempt } },
      (response) => {
        let body = '';
        response.on('data', (bytes) => (body += String(bytes)));
        response.on('error', () => {
          resolve('cut');
        });
        response.on('close', () => {
          const isWhole = response.complete && (response.statusCode !== 200 || body === 'ok');
          resolve(!isWhole ? 'cut' : response.statusCode === 200 ? 'whole' : 'refused');
        });
      },
    );
    call.on('error', () => {
      resolve('notAccepted');
    });
    call.end();
  });

it('a planned stop under load answers each request that it has accepted', async () => {
  await using counting = await startCountingTarget();
  const router = await startTestRouter([counting.target], { slots: 100 });
  const outcomes = new Map<string, Outcome>();
  let isStopped = false;
  const keepSending = async (caller: number): Promise<void> => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let call = 0; !isStopped; call += 1) {
      const attempt = `${caller}-${call}`;
      outcomes.set(attempt, await send(router.callersAddress, attempt, agent));
    }
    agent.destroy();
  };
  const callers = Array.from({ length: CALLERS }, (_, caller) => keepSending(caller));
  while (counting.arrivals.size < CALLERS) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  router.requestStop();
  await router.whenStopped;
  await router[Symbol.asyncDispose]();
  isStopped = true;
  await Promise.all(callers);
  const passedOn = [...counting.arrivals].map(([attempt]) => outcomes.get(attempt));
  expect(new Set(passedOn)).toEqual(new Set(['whole']));
  expect([...counting.arrivals.values()].every((count) => count === 1)).toBe(true);
  expect([...outcomes.values()]).not.toContain('cut');
});
