import { expect, test } from 'vitest';
import { expectSurvival } from '../support/uncontrolledCallers/expectSurvival.js';
import { playCrowd } from '../support/uncontrolledCallers/playCrowd.js';
import { startRouterUnderLoad } from '../support/uncontrolledCallers/startRouterUnderLoad.js';
import { waitUntil } from '../support/uncontrolledCallers/waitUntil.js';

const PIECE = Buffer.alloc(268_435_456, 'x');
const createRequest = (path: string): string =>
  `POST ${path} HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 2\r\n\r\n{}`;
const LARGE_HEAD = 'POST /data/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 900000000\r\n\r\n';
/** More than is parsed at a time. */
const PART_BYTES = 15_000;
const UNFINISHED_REQUEST = Buffer.from(
  `${createRequest('/data/silent')}POST /data/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 20000\r\n\r\n${'x'.repeat(PART_BYTES)}`,
);
const SMALL_CHUNKS = Buffer.from(
  `${createRequest('/data/silent')}POST /data/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(4_000)}`,
);
/** The silent target takes all requests of the crowd, and the ordinary one. */
const SLOTS = 1_000;
/** The descriptors of a process without callers, with some room. */
const MAX_DESCRIPTORS_IN_CALM = 60;
const REQUESTS_WITHOUT_HOST = Buffer.from('GET / HTTP/1.1\r\n\r\n'.repeat(3_600));

// Guards against a body that is read and kept without a bound although its request waits for others.
test('a large body behind two requests whose responses are due', async () => {
  await using router = await startRouterUnderLoad();
  const requests = createRequest('/data/silent').repeat(2);
  await playCrowd(
    {
      address: router.callersAddress,
      callers: 1,
      parts: [Buffer.from(requests + LARGE_HEAD), PIECE],
      isReading: true,
    },
    async () => {
      await expectSurvival(router);
    },
  );
});

// Guards against a body that is read until its connection is closed although its request was refused.
test('large bodies of refused requests behind one that is served', async () => {
  await using router = await startRouterUnderLoad();
  await playCrowd(
    {
      address: router.callersAddress,
      callers: 4,
      parts: [Buffer.from(createRequest('/data/1') + LARGE_HEAD), PIECE],
      isReading: true,
    },
    async () => {
      await expectSurvival(router);
    },
  );
});

// Guards against requests that are parsed without a bound on a connection that is being closed.
test('many pipelined requests without a Host', async () => {
  await using router = await startRouterUnderLoad();
  await playCrowd(
    {
      address: router.callersAddress,
      callers: 160,
      parts: [REQUESTS_WITHOUT_HOST],
      isReading: false,
    },
    async () => {
      await expectSurvival(router);
    },
  );
});

// Guards against the objects that the parts of a body take while its request waits for the one before it.
test('bodies in chunks of one byte behind a request whose response is due', async () => {
  await using router = await startRouterUnderLoad({ slots: SLOTS });
  await playCrowd(
    {
      address: router.callersAddress,
      callers: 360,
      parts: [SMALL_CHUNKS],
      isReading: true,
    },
    async () => {
      await expectSurvival(router);
    },
  );
});

// Guards against callers that leave unnoticed behind unparsed bytes, and whose connections stay as long as their first request.
test('callers that left with an unfinished request behind another one', async () => {
  await using router = await startRouterUnderLoad({ slots: SLOTS });
  await playCrowd(
    {
      address: router.callersAddress,
      callers: 200,
      parts: [UNFINISHED_REQUEST],
      isReading: true,
    },
    async () => {
      await expectSurvival(router);
    },
  );
  expect(await waitUntil(() => router.countDescriptors() < MAX_DESCRIPTORS_IN_CALM)).toBe(true);
  await expectSurvival(router);
});
