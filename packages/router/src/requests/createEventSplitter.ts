import type { EventFormat } from './eventFormat.js';
import type { EventSplitter } from './eventSplitter.js';
import { parseBlock } from './parseBlock.js';
import type { SplitBlock } from './splitBlock.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** So many bytes of a blank line's end may have been searched before the rest arrives. */
const BLANK_LINE_OVERLAP_BYTES = 2;

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

/** Creates a splitter for a new stream with events of this format. */
export const createEventSplitter = (format: EventFormat): EventSplitter => {
  let buffered: Buffer = Buffer.alloc(0);
  return {
    push: (bytes) => {
      // What was searched before can't hold a blank line, but for the beginning of one.
      let searchFrom = Math.max(0, buffered.length - BLANK_LINE_OVERLAP_BYTES);
      buffered = buffered.length === 0 ? bytes : Buffer.concat([buffered, bytes]);
      const blocks: SplitBlock[] = [];
      let start = 0;
      for (
        let end = findEventEnd(buffered, searchFrom);
        end >= 0;
        end = findEventEnd(buffered, searchFrom)
      ) {
        blocks.push(parseBlock(buffered.subarray(start, end), format));
        start = end;
        searchFrom = end;
      }
      buffered = buffered.subarray(start);
      return blocks;
    },
    countIncompleteBytes: () => buffered.length,
    hasIncompleteEvent: () =>
      buffered.length > 0 && parseBlock(buffered, format).kind !== 'comment',
  };
};
