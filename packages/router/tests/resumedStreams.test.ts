import { describe, expect, it } from 'vitest';
import { RequestQueue } from './support/requestQueue.js';
import { sendRequest } from './support/sendRequest.js';
import { createTestRoute } from './support/createTestRoute.js';
import { parseOutcome } from './support/spoiltStreams/parseOutcome.js';
import type { StreamOutcome } from './support/spoiltStreams/streamOutcome.js';
import { startRawTarget } from './support/startRawTarget.js';
import { startTestRouter } from './support/startTestRouter.js';
import { toChunk } from './support/toChunk.js';
import { toEvent } from './support/toEvent.js';

const LAST_CHUNK = '0\r\n\r\n';
const PAUSE_MS = 10;
const ROUTE = { ...createTestRoute('resumableStream'), maxAttempts: 3 };

interface Answer {
  /** The texts of the target's writes. */
  readonly writes: readonly string[];
  readonly isResetBehind?: boolean;
}

interface Played extends StreamOutcome {
  /** The `Last-Event-Id` of each send. */
  readonly lastEventIds: readonly (string | undefined)[];
}

const writeHead = (status = '200 OK', framing = 'Transfer-Encoding: chunked'): string =>
  `HTTP/1.1 ${status}\r\nAttempt: a1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n${framing}\r\n\r\n`;

const writeEvents = (first: number, last: number): string =>
  Array.from({ length: last - first + 1 }, (_, index) => toEvent(first + index)).join('');

/** A response with these events that ends in order. */
const answerWith = (...events: readonly string[]): Answer => ({
  writes: [
    writeHead() +
      events
        .filter((text) => text !== '')
        .map(toChunk)
        .join('') +
      LAST_CHUNK,
  ],
});

const BROKEN_BEHIND_5: Answer = {
  writes: [writeHead() + toChunk(writeEvents(1, 5))],
  isResetBehind: true,
};
const WHOLE_STREAM = writeEvents(1, 10);

const waitMs = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Sends a request for a stream; the targets to which it is sent answer in turn. */
const playAnswers = async (answers: readonly Answer[], headers = ''): Promise<Played> => {
  const queue = new RequestQueue();
  await using first = await startRawTarget(queue);
  await using second = await startRawTarget(queue);
  await using third = await startRawTarget(queue);
  await using router = await startTestRouter([first, second, third], { routes: [ROUTE] });
  const caller = sendRequest(router, '/resumableStream/x', `Connection: close\r\n${headers}`);
  const lastEventIds: (string | undefined)[] = [];
  const answerInTurn = async (): Promise<void> => {
    for (const { writes, isResetBehind = false } of answers) {
      const { socket, getHeader } = await queue.next();
      lastEventIds.push(getHeader('last-event-id'));
      for (const text of writes) {
        socket.write(text, 'latin1');
        await waitMs(PAUSE_MS);
      }
      if (isResetBehind) {
        socket.resetAndDestroy();
      }
    }
  };
  void answerInTurn();
  const received = await caller.whenClosed;
  return { ...parseOutcome(received, lastEventIds.length), lastEventIds };
};

describe('a stream that another target continues', () => {
  // Guards against ORDER: pieces that are missing or come twice where the next target begins elsewhere than asked.
  it.each([
    { name: 'begins anew', answers: [answerWith(WHOLE_STREAM)], sends: 2 },
    { name: 'begins before', answers: [answerWith(writeEvents(4, 10))], sends: 2 },
    {
      name: 'begins later, so that a third one follows',
      answers: [answerWith(writeEvents(8, 10)), answerWith(writeEvents(6, 10))],
      sends: 3,
    },
    {
      name: 'refuses with an error, so that a third one follows',
      answers: [
        { writes: [`${writeHead('404 Not Found', 'Content-Length: 3')}abc`] },
        answerWith(writeEvents(6, 10)),
      ],
      sends: 3,
    },
    {
      name: 'answers with garbage, so that a third one follows',
      answers: [answerWith('garbage\n\n'), answerWith(writeEvents(6, 10))],
      sends: 3,
    },
  ])('is whole if that one $name', async ({ answers, sends }) => {
    const played = await playAnswers([BROKEN_BEHIND_5, ...answers]);
    expect(played).toMatchObject({ isComplete: true, body: WHOLE_STREAM, sends });
  });

  // Guards against ORDER: a response that is resumed twice goes on behind an event of the first target.
  it.each([
    { name: 'breaks too', behind: '' },
    { name: 'sends garbage too', behind: toChunk('garbage\n\n') },
  ])('goes on behind the last event of that one if it $name', async ({ behind }) => {
    const spoilt: Answer = {
      writes: [writeHead() + toChunk(writeEvents(6, 7)) + behind],
      isResetBehind: true,
    };
    const played = await playAnswers([BROKEN_BEHIND_5, spoilt, answerWith(writeEvents(8, 10))]);
    expect(played).toMatchObject({ isComplete: true, body: WHOLE_STREAM });
    expect(played.lastEventIds).toEqual([undefined, '5', '7']);
  });

  // Guards against ORDER: a third target went on behind an event of the second one that no run had made.
  it('ends visibly if two events of that one claim one number and one has been relayed', async () => {
    const spoilt: Answer = {
      writes: [
        writeHead() + toChunk('id: 6\ndata: foreign\n\n'),
        toChunk(writeEvents(6, 10)) + LAST_CHUNK,
      ],
    };
    const played = await playAnswers([BROKEN_BEHIND_5, spoilt, answerWith(writeEvents(7, 10))]);
    expect(played).toMatchObject({ isComplete: false, sends: 2 });
  });

  // Guards against false alarms: the caller had the last event already when the first target broke.
  it('is complete if nothing is left to send', async () => {
    const broken: Answer = {
      writes: [writeHead() + toChunk(WHOLE_STREAM)],
      isResetBehind: true,
    };
    const played = await playAnswers([broken, answerWith()]);
    expect(played).toMatchObject({ isComplete: true, body: WHOLE_STREAM, sends: 2 });
  });
});

describe("a stream that goes on behind the caller's own Last-Event-Id", () => {
  // Guards against ORDER: pieces that the caller already had, or an answer that leaves some out.
  it.each([
    { name: 'begins anew', answers: [answerWith(WHOLE_STREAM)] },
    {
      name: 'begins later, so that another one follows',
      answers: [answerWith(writeEvents(8, 10)), answerWith(writeEvents(6, 10))],
    },
  ])('has just the rest if the target $name', async ({ answers }) => {
    const played = await playAnswers(answers, 'Last-Event-Id: 5\r\n');
    expect(played).toMatchObject({ isComplete: true, body: writeEvents(6, 10) });
  });
});

describe('a stream that the next target ends before what the caller has', () => {
  // Guards against ORDER: a redirect's body inside a complete stream, which ended too early.
  it.each(['204 No Content', '302 Found', '304 Not Modified'])(
    'is not complete after a response with status %s',
    async (status) => {
      const text = status.startsWith('302') ? 'foreign\n' : '';
      const other: Answer = {
        writes: [writeHead(status, `Content-Length: ${text.length}`) + text],
      };
      const played = await playAnswers([BROKEN_BEHIND_5, other, answerWith(writeEvents(6, 10))]);
      expect(played).toMatchObject({ isComplete: true, body: WHOLE_STREAM, sends: 3 });
    },
  );

  // Guards against ORDER: a target that began anew and ended before the relayed event made the stream look complete.
  it('is not complete if that one begins anew and ends before that event', async () => {
    const short = answerWith(writeEvents(1, 3));
    const played = await playAnswers([BROKEN_BEHIND_5, short, answerWith(writeEvents(6, 10))]);
    expect(played).toMatchObject({ isComplete: true, body: WHOLE_STREAM, sends: 3 });
  });

  // Guards against ORDER: the same with what the caller itself says it has.
  it("is not complete if the target ends before the caller's own Last-Event-Id", async () => {
    const short = answerWith(writeEvents(1, 3));
    const played = await playAnswers(
      [short, answerWith(writeEvents(6, 10))],
      'Last-Event-Id: 5\r\n',
    );
    expect(played).toMatchObject({ isComplete: true, body: writeEvents(6, 10), sends: 2 });
  });
});

describe('bytes without a blank line in front of a sound event', () => {
  // Guards against ORDER: lines that no run made reached callers as a part of the event that followed them.
  it.each(['data: foreign\n', 'event: foreign\n', 'retry: 1\n', 'id: 6\ndata: foreign'])(
    'are not relayed (%j)',
    async (text) => {
      const spoilt: Answer = {
        writes: [
          writeHead() + toChunk(writeEvents(1, 5)),
          toChunk(text),
          toChunk(writeEvents(6, 10)) + LAST_CHUNK,
        ],
      };
      const played = await playAnswers([spoilt, answerWith(writeEvents(6, 10))]);
      expect(played).toMatchObject({ isComplete: true, body: WHOLE_STREAM });
    },
  );
});

describe('a Last-Event-Id that names no event', () => {
  // Guards against ORDER: such a header counted as an event that the caller had.
  it.each(['', '0'])('does not make an empty response a complete stream (%j)', async (id) => {
    const answers = [answerWith(), answerWith(WHOLE_STREAM)];
    const played = await playAnswers(answers, `Last-Event-Id: ${id}\r\n`);
    expect(played).toMatchObject({ isComplete: true, body: WHOLE_STREAM, sends: 2 });
  });

  // Guards against ORDER: behind such a header a stream could begin with any number, and was resumed behind it.
  it('does not let a stream begin anywhere if it is empty', async () => {
    const spoilt: Answer = {
      writes: [writeHead() + toChunk('id: 9\ndata: foreign\n\n')],
      isResetBehind: true,
    };
    const rest = answerWith(writeEvents(10, 10));
    const played = await playAnswers(
      [spoilt, rest, answerWith(WHOLE_STREAM)],
      'Last-Event-Id: \r\n',
    );
    expect(played.isComplete && played.body !== WHOLE_STREAM).toBe(false);
  });
});

describe('an event with a number below the first', () => {
  // Guards against a break that callers need not see: no sound event can have such a number.
  it('puts no earlier event in doubt', async () => {
    const spoilt: Answer = {
      writes: [writeHead() + toChunk(writeEvents(1, 5)), toChunk('id: 0\ndata: foreign\n\n')],
    };
    const played = await playAnswers([spoilt, answerWith(writeEvents(6, 10))]);
    expect(played).toMatchObject({ isComplete: true, body: WHOLE_STREAM });
  });
});
