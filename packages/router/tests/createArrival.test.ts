import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { describe, expect, it } from 'vitest';
import { createArrival } from '../src/callers/createArrival.js';
import { toStoredBody } from '../src/memory/toStoredBody.js';

const READ_AT_MS = 10_000;
const STARTED_AT_MS = 10_300;

const arriveAfter = (unreadMs: number) => {
  const request = new IncomingMessage(new Socket());
  const response = new ServerResponse(request);
  const caller = {
    requestId: 1,
    request,
    response,
    headers: {},
    body: toStoredBody(Buffer.alloc(0)),
  };
  return createArrival({
    caller,
    earliestArrivalAtMs: READ_AT_MS - unreadMs,
    readAtMs: READ_AT_MS,
    nowMs: STARTED_AT_MS,
    random: 0,
  });
};

describe('the arrival of a request', () => {
  it('counts from the reading if it was read at once', () => {
    const arrival = arriveAfter(100);
    expect(arrival.elapsedMs).toBe(300);
    expect(arrival.minElapsedMs).toBeUndefined();
  });

  // Guards against streams that are broken off before their deadline because an estimate of their arrival counts as
  // certain.
  it('is estimated if it was read late, and bounded by the reading', () => {
    expect(arriveAfter(2_000)).toMatchObject({
      elapsedMs: 1_300,
      minElapsedMs: 300,
      unreadMs: 2_000,
    });
  });
});
