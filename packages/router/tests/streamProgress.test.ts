import { describe, expect, it } from 'vitest';
import { createStreamingSink } from '../src/requests/createStreamingSink.js';

const EVENT_STREAM = { 'content-type': 'text/event-stream' };

/** A stream whose target sends these texts, one a second; returns how often progress was reported and what was relayed. */
const relayEachSecond = (texts: readonly string[]) => {
  let nowMs = 0;
  let progressReports = 0;
  let relayed = '';
  const failures: string[] = [];
  const sink = createStreamingSink(
    {
      requestId: 1,
      getLastEventId: () => undefined,
      countEvents: () => 0,
      hasSentHead: () => false,
      setHead: () => undefined,
      holdBuffered: () => true,
      write: (bytes) => {
        relayed += bytes.toString();
        return true;
      },
      end: () => undefined,
      endWithBody: () => undefined,
      breakOff: () => undefined,
    },
    {
      reportHead: () => true,
      reportProgress: () => {
        progressReports += 1;
      },
      reportStarted: () => undefined,
      reportCommitted: () => undefined,
      reportEnd: () => undefined,
      reportFailure: (failure) => failures.push(failure),
    },
    { isNumbered: true, firstNumber: 1, isIdFirst: true, extraFields: new Set() },
    () => nowMs,
  );
  sink.handleHead(200, EVENT_STREAM, []);
  texts.forEach((text) => {
    nowMs += 1_000;
    sink.handleBytes(Buffer.from(text));
  });
  return { progressReports, relayed, failures };
};

describe('a slow stream', () => {
  it('makes progress with each event', () => {
    const { progressReports, failures } = relayEachSecond([
      'id: 1\ndata: a\n\n',
      'id: 2\ndata: b\n\n',
    ]);
    expect(progressReports).toBe(2);
    expect(failures).toEqual([]);
  });

  it('makes progress when an event that came in parts is complete', () => {
    expect(relayEachSecond(['id: 1\nda', 'ta: a\n', '\n']).progressReports).toBe(1);
  });
});

describe('a stalled stream that sends something now and then', () => {
  it.each([
    ['a byte of an event', ['i', 'd', ':', ' ']],
    ['comments', [':\n\n', ': still here\n\n', ':a\n:b\r\n\r\n']],
    ['blank lines', ['\n\n', '\r\n\r\n']],
  ])('makes no progress (%s)', (_, texts) => {
    expect(relayEachSecond(texts).progressReports).toBe(0);
  });

  it('still has its comments relayed', () => {
    expect(relayEachSecond([': still here\n\n']).relayed).toBe(': still here\n\n');
  });
});
