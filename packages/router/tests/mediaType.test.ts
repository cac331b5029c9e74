import { describe, expect, it } from 'vitest';
import { isEventStream } from '../src/requests/isEventStream.js';

const NUMBERED = {
  isNumbered: true,
  firstNumber: 1,
  isIdFirst: false,
  extraFields: new Set<string>(),
};
const UNNUMBERED = {
  isNumbered: false,
  firstNumber: 1,
  isIdFirst: false,
  extraFields: new Set<string>(),
};

// Guards against ORDER: bodies of streams were relayed unread if their Content-Type wasn't spelled as expected.
describe('a successful response on a streaming route', () => {
  it.each([
    [undefined, true, false],
    ['text/event-stream', true, true],
    ['Text/Event-Stream; Charset=UTF-8', true, true],
    ['text/event-streams', true, false],
    ['application/json', true, false],
  ])('with Content-Type %s has events: %s if they are numbered, else %s', (type, ...expected) => {
    const headers = type === undefined ? {} : { 'content-type': type };
    expect([NUMBERED, UNNUMBERED].map((format) => isEventStream(200, headers, format))).toEqual(
      expected,
    );
  });

  it('may state its type twice', () => {
    const headers = { 'content-type': ['text/plain', 'text/plain'] as unknown as string };
    expect(isEventStream(200, headers, UNNUMBERED)).toBe(false);
  });
});

describe('a response on a streaming route that is an error or has no body', () => {
  it('has no events', () => {
    const headers = { 'content-type': 'text/event-stream' };
    expect(
      [201, 204, 300, 400, 500].map((status) => isEventStream(status, headers, NUMBERED)),
    ).toEqual([true, false, false, false, false]);
  });
});
