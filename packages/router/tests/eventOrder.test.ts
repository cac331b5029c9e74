import { describe, expect, it } from 'vitest';
import { createStreamReader } from '../src/requests/createStreamReader.js';
import { createEventOrder } from '../src/requests/createEventOrder.js';
import { parseBlock } from '../src/requests/parseBlock.js';
import { sendRequest } from './support/sendRequest.js';
import { startRawTarget } from './support/startRawTarget.js';
import { startTestRouter } from './support/startTestRouter.js';
import { RequestQueue } from './support/requestQueue.js';
import { toChunk } from './support/toChunk.js';
import { toEvent } from './support/toEvent.js';

const STREAM_HEAD =
  'HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';

/** Blocks that a target never makes as parts of a stream that has come to event 2. */
const GARBAGE: readonly (readonly [string, string])[] = [
  ['a line of text', 'garbage\n\n'],
  ['a line of text before an event', `garbage\n${toEvent(3)}`],
  ['an unknown field before an event', `garbage: 1\n${toEvent(3)}`],
  ['data without an id', 'data: 3\n\n'],
  ['the next number without data', 'id: 3\n\n'],
  ['an event behind a lone carriage return', 'data: x\r\rid: 3\ndata: 3\n\n'],
  ['an empty id', 'id: \ndata: 3\n\n'],
  ['a negative id', 'id: -7\ndata: 3\n\n'],
  ['an id that is no number', 'id: 9f\ndata: 3\n\n'],
  ['an id with a leading zero', 'id: 03\ndata: 3\n\n'],
  ['two ids', 'id: 3\nid: 4\ndata: 3\n\n'],
  ['an id that leaves events out', toEvent(4)],
  ['a response head', 'HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\n'],
];

/** Events whose numbers the target has used, so that one of the two was made up. */
const TAKEN_NUMBERS: readonly (readonly [string, string])[] = [
  ['the id of the event before', toEvent(2)],
  ['an id that goes back', toEvent(1)],
];

describe('a stream in which a target sends something that it did not make', () => {
  // Guards against ORDER in users' runs: a faulty target's bytes reached callers as an event of a complete stream.
  it.each([...GARBAGE, ...TAKEN_NUMBERS])('breaks off before it (%s)', async (_, garbage) => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = sendRequest(router, '/stream/x');
    const { socket } = await target.nextRequest();
    const events = toChunk(toEvent(1)) + toChunk(toEvent(2));
    socket.write(STREAM_HEAD + events + toChunk(garbage) + toChunk(toEvent(3)) + LAST_CHUNK);
    expect((await caller.whenClosed).endsWith(events)).toBe(true);
  });

  it.each(GARBAGE)('goes on at another target if it may be resumed (%s)', async (_, garbage) => {
    const queue = new RequestQueue();
    await using first = await startRawTarget(queue);
    await using second = await startRawTarget(queue);
    await using router = await startTestRouter([first, second]);
    const caller = sendRequest(router, '/resumableStream/x');
    const faulty = await queue.next();
    const events = toChunk(toEvent(1)) + toChunk(toEvent(2));
    faulty.socket.write(STREAM_HEAD + events + toChunk(garbage) + toChunk(toEvent(3)) + LAST_CHUNK);
    const resumed = await queue.next();
    expect(resumed.getHeader('last-event-id')).toBe('2');
    resumed.socket.write(STREAM_HEAD + toChunk(toEvent(3)) + LAST_CHUNK);
    const answer = await caller.waitForText(LAST_CHUNK);
    expect(answer.endsWith(events + toChunk(toEvent(3)) + LAST_CHUNK)).toBe(true);
  });
});

describe('a stream that may be resumed, in which a target uses a number twice', () => {
  // Guards against ORDER: another target went on behind an event that may have been the made-up one of the two.
  it.each(TAKEN_NUMBERS)('breaks off and is sent to no other target (%s)', async (_, event) => {
    await using first = await startRawTarget();
    await using second = await startRawTarget();
    await using router = await startTestRouter([first, second]);
    const caller = sendRequest(router, '/resumableStream/x');
    const { socket } = await Promise.race([first.nextRequest(), second.nextRequest()]);
    const events = toChunk(toEvent(1)) + toChunk(toEvent(2));
    socket.write(STREAM_HEAD + events + toChunk(event) + toChunk(toEvent(3)) + LAST_CHUNK);
    expect((await caller.whenClosed).endsWith(events)).toBe(true);
    expect(first.countRequests() + second.countRequests()).toBe(1);
  });
});

describe('a sound stream', () => {
  it.each([
    ['comments', ': still here\n\n'],
    ['blank lines', '\n\r\n'],
    ['a field that targets add', 'version: 7\nid: 2\ndata: 2\n\n'],
    ['lines that end with a carriage return', 'id: 2\r\ndata: 2\r\n\r\n'],
    ['several lines of data', 'id: 2\ndata: 2\ndata: 3\n\n'],
  ])('is relayed whole (%s)', async (_, block) => {
    await using target = await startRawTarget();
    await using router = await startTestRouter([target]);
    const caller = sendRequest(router, '/stream/x');
    const { socket } = await target.nextRequest();
    socket.write(STREAM_HEAD + toChunk(toEvent(1)) + toChunk(block) + LAST_CHUNK);
    const answer = await caller.waitForText(LAST_CHUNK);
    expect(answer.endsWith(`\r\n\r\n${toChunk(toEvent(1))}${toChunk(block)}${LAST_CHUNK}`)).toBe(
      true,
    );
  });

  it('need not number its events where the format leaves that open, from its start to its end', () => {
    const place = createEventOrder({ isNumbered: false, firstNumber: 1 }, () => undefined);
    expect([undefined, undefined, 'x', '7', undefined].map(place)).toEqual([
      'next',
      'next',
      'next',
      'next',
      'noNumber',
    ]);
  });
});

describe('a stream whose events need no numbers', () => {
  const FORMAT = {
    isNumbered: false,
    firstNumber: 1,
    isIdFirst: false,
    extraFields: new Set<string>(),
  };

  // Guards against ORDER: an id without data, which no parser takes for an event, was relayed in a complete stream.
  it('has no event with an id and without data', () => {
    const reader = createStreamReader(FORMAT, () => undefined);
    expect(reader.read(Buffer.from('retry: 10\n\nid: 1\n\n'))).toMatchObject({
      blocks: [],
      fault: { responseFault: 'noData', eventId: '1' },
    });
  });
});

describe('a stream that is resumed', () => {
  it.each([
    { lastId: '4', ids: ['5', '6'], positions: ['next', 'next'] },
    { lastId: '4', ids: ['5', '7'], positions: ['next', 'numberSkipped'] },
    { lastId: '4', ids: ['3', '4', '5'], positions: ['repeated', 'repeated', 'next'] },
    { lastId: '4', ids: ['1', '2', '4'], positions: ['repeated', 'repeated', 'numberSkipped'] },
    { lastId: '4', ids: ['5', '5'], positions: ['next', 'numberTaken'] },
    { lastId: '4', ids: ['4', '2'], positions: ['repeated', 'numberTaken'] },
    { lastId: '4', ids: ['6'], positions: ['wrongStart'] },
    { lastId: '4', ids: ['0'], positions: ['wrongStart'] },
    { lastId: 'x', ids: ['1', '2'], positions: ['next', 'next'] },
    { lastId: 'x', ids: ['8'], positions: ['wrongStart'] },
  ])('after $lastId places $ids as $positions', ({ lastId, ids, positions }) => {
    const place = createEventOrder({ isNumbered: true, firstNumber: 1 }, () => lastId);
    expect(ids.map(place)).toEqual(positions);
  });
});

describe('a stream from its start', () => {
  // Guards against ORDER: a made-up first event was relayed, and another target went on behind its number.
  it.each(['0', '2', '9'])('does not begin with event %s if the first one is 1', (id) => {
    const place = createEventOrder({ isNumbered: true, firstNumber: 1 }, () => undefined);
    expect([id, '1', '2'].map(place)).toEqual(['wrongStart', 'next', 'next']);
  });
});

describe('a block', () => {
  it('has the id that it states, and may have unknown fields only if they are listed', () => {
    const bytes = Buffer.from('version: 7\nid: 2\ndata: 2\n\n');
    expect(parseBlock(bytes, { isIdFirst: true, extraFields: new Set(['version']) })).toEqual({
      kind: 'event',
      bytes,
      id: '2',
      hasData: true,
    });
    expect(parseBlock(bytes, { isIdFirst: true, extraFields: new Set() })).toEqual({
      kind: 'malformed',
      bytes,
    });
  });
});
