import type { EventSplitter } from './eventSplitter.js';
import { parseBlock } from './parseBlock.js';
import type { SplitBlock } from './splitBlock.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** The position after the blank line that ends the first event; -1 if no event is complete. */
const findEventEnd = (bytes: Buffer, from: number): number => {
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

/** Creates a splitter for a new stream; its events may have these fields besides the standard ones. */
export const createEventSplitter = (extraFields: ReadonlySet<string>): EventSplitter => {
  let buffered: Buffer = Buffer.alloc(0);
  return {
    push: (bytes) => {
      buffered = buffered.length === 0 ? bytes : Buffer.concat([buffered, bytes]);
      const blocks: SplitBlock[] = [];
      let start = 0;
      for (let end = findEventEnd(buffered, start); end >= 0; end = findEventEnd(buffered, start)) {
        blocks.push(parseBlock(buffered.subarray(start, end), extraFields));
        start = end;
      }
      buffered = buffered.subarray(start);
      return blocks;
    },
    countIncompleteBytes: () => buffered.length,
  };
};
