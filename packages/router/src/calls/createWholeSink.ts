import type { Relay } from '../callers/relay.js';
import type { AnswerSink } from '../targets/answerSink.js';
import type { RawHeaders } from './rawHeaders.js';
import type { SinkEvents } from './sinkEvents.js';

/** Longer answers than this are not held back, in bytes. */
const MAX_HELD_BYTES = 262_144;

/** Holds an answer back until it is whole, so that a cut one can be asked for again elsewhere. */
export const createWholeSink = (relay: Relay, events: SinkEvents): AnswerSink => {
  let held: Buffer[] = [];
  let heldBytes = 0;
  let isRelayed = false;
  let head:
    { readonly status: number; readonly raw: RawHeaders; readonly hasLength: boolean } | undefined;

  const release = (): boolean => {
    if (head === undefined) {
      return true;
    }
    relay.takeHead(head.status, head.raw, head.hasLength);
    const mayGoOn = held.length === 0 || relay.write(Buffer.concat(held));
    held = [];
    return mayGoOn;
  };

  return {
    takeHead: (status, headers, raw, hasLength) => {
      isRelayed = events.began(status, headers);
      head = { status, raw, hasLength };
    },
    takeBytes: (bytes) => {
      if (!isRelayed) {
        return true;
      }
      held.push(bytes);
      heldBytes += bytes.length;
      if (heldBytes <= MAX_HELD_BYTES) {
        return true;
      }
      const mayGoOn = release();
      events.wentOn();
      return mayGoOn;
    },
    takeEnd: () => {
      if (!isRelayed) {
        return;
      }
      if (relay.hasHead()) {
        release();
        relay.end();
      } else if (head !== undefined) {
        relay.takeHead(head.status, head.raw, head.hasLength);
        relay.endWith(Buffer.concat(held));
      }
      events.ended(0);
    },
    takeFailure: (failure) => {
      events.failed(failure);
    },
  };
};
