import { test } from 'vitest';
import { expectSurvival } from '../support/uncontrolledCallers/expectSurvival.js';
import { playCrowd } from '../support/uncontrolledCallers/playCrowd.js';
import { startRouterUnderLoad } from '../support/uncontrolledCallers/startRouterUnderLoad.js';

const HEADER_LINES = 1_500;
const REQUESTS_AHEAD = 8;

const LINES = Array.from({ length: HEADER_LINES }, (_, line) => `a${line}: 1\r\n`).join('');
const REQUEST = `POST /data/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 2\r\n${LINES}\r\n{}`;

// Guards against heads whose lines take far more memory than their bytes: the heap runs out.
test.each([
  ['all at once', 400],
  ['one after the other', 20],
])('many heads of many short lines, %s', async (_, batchSize) => {
  await using router = await startRouterUnderLoad();
  await playCrowd(
    {
      address: router.callersAddress,
      callers: 400,
      parts: [Buffer.from(REQUEST.repeat(REQUESTS_AHEAD))],
      isReading: true,
      batchSize,
    },
    async () => {
      await expectSurvival(router);
    },
  );
});
