import { test } from 'vitest';
import { expectSurvival } from '../support/uncontrolledCallers/expectSurvival.js';
import { playCrowd } from '../support/uncontrolledCallers/playCrowd.js';
import { startRouterUnderLoad } from '../support/uncontrolledCallers/startRouterUnderLoad.js';

const MAX_BODY_BYTES = 4_194_304;
const CALLERS = 240;
const HEAD_START = 'POST /data/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n';
const BODY = Buffer.alloc(MAX_BODY_BYTES, 'x');
const ANNOUNCED = Buffer.concat([
  Buffer.from(`${HEAD_START}Content-Length: ${MAX_BODY_BYTES}\r\n\r\n`),
  BODY,
]);
const CHUNKED = Buffer.concat([
  Buffer.from(`${HEAD_START}Transfer-Encoding: chunked\r\n\r\n${MAX_BODY_BYTES.toString(16)}\r\n`),
  BODY,
  Buffer.from('\r\n0\r\n\r\n'),
]);

// Guards against memory outside of the budget: what was read and not yet counted, and what is released and not yet free.
test.each([
  ['announced', ANNOUNCED],
  ['in one chunk', CHUNKED],
])('many complete bodies of the full size, %s', async (_, request) => {
  await using router = await startRouterUnderLoad({ maxBodyBytes: MAX_BODY_BYTES });
  const wave = {
    address: router.callersAddress,
    callers: CALLERS,
    parts: [request],
    isReading: true,
    batchSize: CALLERS,
  };
  await playCrowd(wave, async () => {
    await expectSurvival(router);
  });
  await playCrowd(wave, async () => {
    await expectSurvival(router);
  });
});
