import { connect } from 'node:net';
import { expect, test } from 'vitest';
import { callOnce } from '../support/uncontrolledCallers/callOnce.js';
import { expectSurvival } from '../support/uncontrolledCallers/expectSurvival.js';
import { playCrowd } from '../support/uncontrolledCallers/playCrowd.js';
import { startRouterUnderLoad } from '../support/uncontrolledCallers/startRouterUnderLoad.js';

const MAX_BODY_BYTES = 4_194_304;
/** The full size where a test sets no other. */
const SINGLE_BODY_BYTES = 1_048_576;
const CHUNKS_PER_PART = 100_000;
const PARTS = 3;
const HEAD = 'POST /data/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nTransfer-Encoding: chunked\r\n\r\n';

/** The deadline of an ordinary caller. The whole work of the crowd takes many times as long. */
const DEADLINE_MS = 10_000;

// Guards against a crowd whose many chunks keep the event loop from everybody else's requests.
test.each([
  ['one byte', '1\r\nx\r\n'],
  ['eight bytes', '8\r\nxxxxxxxx\r\n'],
])('bodies in many chunks of %s that stay open', async (_, chunk) => {
  await using router = await startRouterUnderLoad({
    maxBodyBytes: MAX_BODY_BYTES,
    callerLimits: { bodyTimeoutMs: 60_000 },
  });
  const part = Buffer.from(chunk.repeat(CHUNKS_PER_PART));
  await playCrowd(
    {
      address: router.callersAddress,
      callers: 240,
      parts: [Buffer.from(HEAD), ...Array.from({ length: PARTS }, () => part)],
      isReading: true,
      batchSize: 240,
    },
    async () => {
      expect(await callOnce(router.callersAddress, DEADLINE_MS)).toBe(200);
      await expectSurvival(router);
    },
  );
});

// Guards against a limit that a single body inside the limits meets.
test('a single body of the full size in chunks of one byte is served', async () => {
  await using router = await startRouterUnderLoad({ callerLimits: { bodyTimeoutMs: 60_000 } });
  const [host = '', port = ''] = router.callersAddress.split(':');
  const socket = connect({ host, port: Number(port) });
  let received = '';
  socket.on('data', (bytes) => {
    received += bytes.toString('latin1');
  });
  const closed = new Promise((resolve) => socket.once('close', resolve));
  socket.write(HEAD.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n'));
  socket.write('1\r\nx\r\n'.repeat(SINGLE_BODY_BYTES));
  socket.write('0\r\n\r\n');
  await closed;
  expect(received).toMatch(/^HTTP\/1\.1 200 /);
});
