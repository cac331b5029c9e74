import { expect, test } from 'vitest';
import { expectSurvival } from '../support/uncontrolledCallers/expectSurvival.js';
import { playCrowd } from '../support/uncontrolledCallers/playCrowd.js';
import { startRouterUnderLoad } from '../support/uncontrolledCallers/startRouterUnderLoad.js';
import { waitUntil } from '../support/uncontrolledCallers/waitUntil.js';

const BARE_REQUESTS = Buffer.from('GET / HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n'.repeat(2_000));
const PROPER_REQUESTS = Buffer.from(
  `POST /data/16384 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: a1\r\nX-Deadline-Ms: 60000\r\nContent-Length: 2\r\n\r\n{}`.repeat(
    200,
  ),
);
/** More than the callers of a crowd. */
const SLOTS = 100;
/** Longer than the test. */
const LONG_UNREAD_TIMEOUT_MS = 120_000;
const LARGE_RESPONSE_REQUEST = Buffer.from(
  'GET /data/67108864 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: a1\r\n\r\n',
);

// Guards against requests that are parsed ahead without a bound while the responses before them are unread.
test.each([
  ['without the usual headers', BARE_REQUESTS, 120],
  ['with the usual headers', PROPER_REQUESTS, 160],
])('many pipelined requests %s, their responses unread', async (_, requests, callers) => {
  await using router = await startRouterUnderLoad();
  await playCrowd(
    {
      address: router.callersAddress,
      callers,
      parts: [requests],
      isReading: false,
    },
    async () => {
      await expectSurvival(router);
    },
  );
});

// Guards against ordinary callers that are refused as long as others do not read their responses.
test('an ordinary request beside responses that may stay unread for long', async () => {
  await using router = await startRouterUnderLoad({
    slots: SLOTS,
    callerLimits: { unreadTimeoutMs: LONG_UNREAD_TIMEOUT_MS },
  });
  await playCrowd(
    {
      address: router.callersAddress,
      callers: 40,
      parts: [LARGE_RESPONSE_REQUEST],
      isReading: false,
    },
    async () => {
      expect(await waitUntil(() => router.countBegunResponses() === 40)).toBe(true);
      await expectSurvival(router);
    },
  );
});

// Guards against targets that are paused without a time limit: the slots they hold are taken from ordinary callers.
test('slow readers of large responses', async () => {
  await using router = await startRouterUnderLoad();
  await playCrowd(
    {
      address: router.callersAddress,
      callers: 40,
      parts: [LARGE_RESPONSE_REQUEST],
      isReading: false,
    },
    async () => {
      expect(await waitUntil(() => router.countBegunResponses() > 0)).toBe(true);
      expect(await waitUntil(() => router.countOpenResponses() === 0)).toBe(true);
      await expectSurvival(router);
    },
  );
});
