import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { expect, test } from 'vitest';
import { releaseRequests } from '../../src/callers/releaseRequests.js';
import { createTestLimits } from '../support/createTestLimits.js';

const HEADERS = ['X-Request-Id', 'a1'];

const createOpenRequest = (socket: Socket) => {
  const request = new IncomingMessage(socket);
  request.rawHeaders = HEADERS;
  return {
    request,
    response: new ServerResponse(request),
    handle: () => undefined,
    sinceMs: 0,
    headBytes: 0,
  };
};

// Guards against a request that reaches a target without its headers: it may still be sent in the turn in which it is closed.
test.each([
  ['that was passed to the scheduler keeps its headers', true, HEADERS],
  ['that was not passed to the scheduler is discarded', false, []],
])('a request %s', (_, isServing, kept) => {
  const socket = new Socket();
  const account = createTestLimits().memory.open(socket, () => undefined);
  account.setServing(isServing);
  const [current, ahead] = [createOpenRequest(socket), createOpenRequest(socket)];
  releaseRequests({
    account,
    openRequests: [current, ahead],
    hasBeenUsed: true,
    isClosing: true,
    hasCallerLeft: false,
    idleSinceMs: 0,
    parsedBytesWhenIdle: 0,
    lateRequests: 0,
  });
  expect(current.request.rawHeaders).toEqual(kept);
  expect(ahead.request.rawHeaders).toEqual([]);
});
