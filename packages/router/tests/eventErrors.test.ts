import { expect, it } from 'vitest';
import { createTestRoute } from './support/createTestRoute.js';
import { silentLogger } from './support/silentLogger.js';
import { startRawTarget } from './support/startRawTarget.js';
import { startTestRouter } from './support/startTestRouter.js';

it('a request that the scheduler fails on is broken off, and the next one is served', async () => {
  await using target = await startRawTarget();
  const failedEvents: unknown[] = [];
  await using router = await startTestRouter([target], {
    routes: [
      { ...createTestRoute('stream'), destinations: undefined as never },
      createTestRoute('nonIdempotent'),
    ],
    logger: {
      ...silentLogger,
      write: ({ name, fields }) => {
        if (name === 'eventFailed') {
          failedEvents.push(fields.type);
        }
      },
    },
  });
  const url = `http://${router.callersAddress}`;
  await expect(fetch(`${url}/stream/x`)).rejects.toThrow();
  expect(failedEvents).toEqual(['requestArrived']);
  const served = fetch(`${url}/nonIdempotent/x`, { headers: { attempt: 'a1' } });
  const { socket } = await target.nextRequest();
  socket.write('HTTP/1.1 200 OK\r\nSeal: s\r\nAttempt: a1\r\nContent-Length: 2\r\n\r\nok');
  expect(await (await served).text()).toBe('ok');
});
