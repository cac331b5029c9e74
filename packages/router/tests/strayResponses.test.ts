import { once } from 'node:events';
import { describe, expect, it } from 'vitest';
import { callOnce } from './support/callOnce.js';
import type { RawRequest } from './support/rawRequest.js';
import { RequestQueue } from './support/requestQueue.js';
import { startRawTarget } from './support/startRawTarget.js';
import { startTestRouter } from './support/startTestRouter.js';

/** A sound body on each kind of route: the only event of a stream. */
const BODY = 'Content-Length: 16\r\n\r\nid: 1\ndata: ok\n\n';
const STATUSES = [400, 421, 503];
const ONCE_ONLY = ['nonIdempotent', 'stream'] as const;
const REPEATABLE = ['idempotent', 'resumableStream'] as const;
const WAITING_ID = 'waiting';

type NamedRequest = 'own' | 'another' | 'none';

const formatIdHeader = (attemptId: string | undefined): string =>
  attemptId === undefined ? '' : `Attempt: ${attemptId}\r\n`;

const answerWell = ({ socket, getHeader }: RawRequest): void => {
  socket.write(`HTTP/1.1 200 OK\r\n${formatIdHeader(getHeader('Attempt'))}Seal: s\r\n${BODY}`);
};

const answerNotRun = ({ socket }: RawRequest, status: number, attemptId?: string): void => {
  socket.write(
    `HTTP/1.1 ${status} No\r\n${formatIdHeader(attemptId)}Not-Run: 1\r\nContent-Length: 0\r\n\r\n`,
  );
};

/** Two targets of one slot each, so that two requests at a time reach both. */
const startSystem = async () => {
  const queue = new RequestQueue();
  const targets = [await startRawTarget(queue), await startRawTarget(queue)];
  const router = await startTestRouter(targets, { slots: 1 });
  return {
    queue,
    router,
    countRequests: () => targets.reduce((sum, target) => sum + target.countRequests(), 0),
    countConnections: () => targets.reduce((sum, target) => sum + target.countConnections(), 0),
    [Symbol.asyncDispose]: async () => {
      await router[Symbol.asyncDispose]();
      await Promise.all(targets.map((target) => target[Symbol.asyncDispose]()));
    },
  };
};

type System = Awaited<ReturnType<typeof startSystem>>;

/** Has one request answered by each target and returns those requests. */
const useBothTargets = async ({ queue, router }: System): Promise<readonly RawRequest[]> => {
  const calls = [
    callOnce(router, '/idempotent/x', 'first'),
    callOnce(router, '/idempotent/x', 'second'),
  ];
  const requests = [await queue.next(), await queue.next()];
  requests.forEach(answerWell);
  await Promise.all(calls);
  return requests;
};

/** Sends a request and answers it with a head that says that it was not run. */
const answerWaitingRequest = async (
  system: System,
  kind: string,
  answer: {
    readonly names: NamedRequest;
    readonly status: number;
    readonly isConnectionNew: boolean;
  },
) => {
  const earlier = answer.isConnectionNew ? [] : await useBothTargets(system);
  const whenAnswered = callOnce(system.router, `/${kind}/x`, WAITING_ID);
  const request = await system.queue.next();
  const before = earlier.find(({ socket }) => socket === request.socket);
  expect(before === undefined).toBe(answer.isConnectionNew);
  const whenClosed = once(request.socket, 'close');
  const ids = { own: WAITING_ID, another: before?.getHeader('Attempt') ?? 'unknown' };
  answerNotRun(request, answer.status, answer.names === 'none' ? undefined : ids[answer.names]);
  await whenClosed;
  return { whenAnswered, request, countBefore: earlier.length };
};

const combine = (
  identities: readonly (readonly [NamedRequest, boolean])[],
  kinds: readonly string[],
) =>
  identities.flatMap(([names, isConnectionNew]) =>
    STATUSES.flatMap((status) => kinds.map((kind) => ({ names, isConnectionNew, status, kind }))),
  );

const BELIEVED = [
  ['own', true],
  ['own', false],
  ['none', true],
] as const;
const NOT_BELIEVED = [
  ['none', false],
  ['another', true],
  ['another', false],
] as const;

// Guards against a second run of a request after a target's late second response to the request before on the same
// connection, which says that it was not run.
describe('a response that says that a request was not run', () => {
  it.each(combine(BELIEVED, [...ONCE_ONLY, ...REPEATABLE]))(
    'sends the request to another target: $kind, status $status, names $names, new connection: $isConnectionNew',
    async ({ kind, ...answer }) => {
      await using system = await startSystem();
      const { whenAnswered, request } = await answerWaitingRequest(system, kind, answer);
      const again = await system.queue.next();
      expect(again.getHeader('Attempt')).toBe(WAITING_ID);
      expect(again.socket.localPort).not.toBe(request.socket.localPort);
      answerWell(again);
      expect(await whenAnswered).toMatch(/ok/);
    },
  );

  it.each(combine(NOT_BELIEVED, ONCE_ONLY))(
    'does not let a request run twice: $kind, status $status, names $names, new connection: $isConnectionNew',
    async ({ kind, ...answer }) => {
      await using system = await startSystem();
      const { whenAnswered, countBefore } = await answerWaitingRequest(system, kind, answer);
      const whenSentAgain = system.queue.next().then(() => 'the request was sent again');
      const answered = await Promise.race([whenAnswered, whenSentAgain]);
      expect(answered).toContain('HTTP/1.1 502');
      expect(answered).toContain('outcomeUnknown');
      expect(system.countRequests()).toBe(countBefore + 1);
    },
  );

  it.each(combine(NOT_BELIEVED, REPEATABLE))(
    'lets a request that may run again go on elsewhere: $kind, status $status, names $names, new connection: $isConnectionNew',
    async ({ kind, ...answer }) => {
      await using system = await startSystem();
      const { whenAnswered, request } = await answerWaitingRequest(system, kind, answer);
      const again = await system.queue.next();
      expect(again.socket.localPort).not.toBe(request.socket.localPort);
      answerWell(again);
      expect(await whenAnswered).toMatch(/ok/);
    },
  );
});

// Guards against relaying a late second response as the one to the next request, where no id tells the two apart.
describe('a request without an attempt id', () => {
  it('shares its connection with no request before or after it', async () => {
    await using system = await startSystem();
    await useBothTargets(system);
    const whenAnswered = callOnce(system.router, '/nonIdempotent/x');
    const request = await system.queue.next();
    expect(system.countConnections()).toBe(3);
    const whenClosed = once(request.socket, 'close');
    answerWell(request);
    expect(await whenAnswered).toMatch(/ok\n\n$/);
    await whenClosed;
  });
});
