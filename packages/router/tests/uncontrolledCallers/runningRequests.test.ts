import { connect } from 'node:net';
import { expect, test } from 'vitest';
import { expectSurvival } from '../support/uncontrolledCallers/expectSurvival.js';
import { startRouterUnderLoad } from '../support/uncontrolledCallers/startRouterUnderLoad.js';
import { waitUntil } from '../support/uncontrolledCallers/waitUntil.js';

const CALLERS = 60;
const SLOTS = 80;
const REQUEST_BYTES = 524_288;
const RESPONSE_BYTES = 240_000;
const REQUEST = Buffer.concat([
  Buffer.from(
    `POST /data/held/${RESPONSE_BYTES} HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\nContent-Length: ${REQUEST_BYTES}\r\n\r\n`,
  ),
  Buffer.alloc(REQUEST_BYTES, 'x'),
]);

interface Call {
  isEnded: boolean;
  received: string;
}

/** Sends one request and collects what comes until the connection is closed. */
const startCall = (address: string): Call => {
  const [host = '', port = ''] = address.split(':');
  const call: Call = { isEnded: false, received: '' };
  const socket = connect({ host, port: Number(port) });
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => {
    call.received += bytes.toString('latin1');
  });
  socket.once('close', () => {
    call.isEnded = true;
  });
  socket.write(REQUEST);
  return call;
};

const isServed = ({ received }: Call): boolean => {
  const [head = '', body = ''] = received.split('\r\n\r\n');
  return head.startsWith('HTTP/1.1 200 ') && body.length === RESPONSE_BYTES;
};

const isRefused = ({ received }: Call): boolean =>
  /^HTTP\/1\.1 503 [^]*\r\nretry-after: /i.test(received);

// Guards against requests that ran and get no answer, since nothing is left of the budget for their responses.
test('a burst of sound callers gets a whole answer to each request that ran', async () => {
  await using router = await startRouterUnderLoad({ slots: SLOTS });
  const calls = Array.from({ length: CALLERS }, () => startCall(router.callersAddress));
  const countEnded = (): number => calls.filter(({ isEnded }) => isEnded).length;
  expect(await waitUntil(() => router.countHeldResponses() + countEnded() === CALLERS)).toBe(true);
  const ran = router.countHeldResponses();
  router.releaseHeld();
  expect(await waitUntil(() => countEnded() === CALLERS)).toBe(true);
  expect(ran).toBeGreaterThan(0);
  expect(calls.filter(isServed)).toHaveLength(ran);
  expect(calls.filter(isRefused)).toHaveLength(CALLERS - ran);
  await expectSurvival(router);
});
