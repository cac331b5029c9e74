import type { EventSplitter } from './eventSplitter.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(.*?)\r?$/m;

/** The position after the blank line that ends the first event; -1 where none is whole. */
const findEnd = (bytes: Buffer, from: number): number => {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) {
      return at + 2;
    }
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) {
      return at + 3;
    }
  }
  return -1;
};

const readId = (bytes: Buffer): string | undefined => ID_LINE.exec(bytes.toString('latin1'))?.[1];

/** Creates a splitter at the start of a stream. */
export const createEventSplitter = (): EventSplitter => {
  let rest: Buffer = Buffer.alloc(0);
  return {
    take: (bytes) => {
      rest = rest.length === 0 ? bytes : Buffer.concat([rest, bytes]);
      const events = [];
      let start = 0;
      for (let end = findEnd(rest, start); end >= 0; end = findEnd(rest, start)) {
        const event = rest.subarray(start, end);
        const id = readId(event);
        events.push(id === undefined ? { bytes: event } : { bytes: event, id });
        start = end;
      }
      rest = rest.subarray(start);
      return events;
    },
    getRest: () => rest.length,
  };
};
