import type { Relay } from '../callers/relay.js';
import type { AnswerSink } from '../targets/answerSink.js';
import { createEventSplitter } from './createEventSplitter.js';
import type { SinkEvents } from './sinkEvents.js';

const WENT_ON_PERIOD_MS = 100;
/** An event that is longer is taken for no event. */
const MAX_EVENT_BYTES = 1_048_576;

const isWholeNumber = (value: string): boolean => /^\d+$/.test(value);

/** How an event follows the last one that the caller has. */
const compareIds = (last: string | undefined, next: string): 'next' | 'known' | 'gap' => {
  if (last === undefined || !isWholeNumber(last) || !isWholeNumber(next)) {
    return 'next';
  }
  const difference = Number(next) - Number(last);
  if (difference <= 0) {
    return 'known';
  }
  return difference === 1 ? 'next' : 'gap';
};

/** Hands a stream on event by event, so that it can go on from another target after any of them. */
export const createStreamSink = (
  relay: Relay,
  events: SinkEvents,
  getNowMs: () => number,
): AnswerSink => {
  const splitter = createEventSplitter();
  let isRelayed = false;
  let isEventStream = true;
  let toldMs = -Infinity;

  const tellWentOn = (): void => {
    const nowMs = getNowMs();
    if (nowMs - toldMs >= WENT_ON_PERIOD_MS) {
      toldMs = nowMs;
      events.wentOn();
    }
  };

  const takeEvents = (bytes: Buffer): boolean => {
    let mayGoOn = true;
    for (const { bytes: event, id } of splitter.take(bytes)) {
      const order = id === undefined ? 'next' : compareIds(relay.getLastEventId(), id);
      if (order === 'gap' && relay.getEvents() > 0) {
        events.failed('malformed');
        return true;
      }
      if (order !== 'known') {
        mayGoOn = relay.write(event, id);
        tellWentOn();
      }
    }
    if (splitter.getRest() > MAX_EVENT_BYTES) {
      events.failed('malformed');
    }
    return mayGoOn;
  };

  return {
    takeHead: (status, headers, raw, hasLength) => {
      isRelayed = events.began(status, headers);
      isEventStream = headers['content-type']?.includes('text/event-stream') ?? false;
      if (isRelayed) {
        relay.takeHead(status, raw, hasLength);
      }
    },
    takeBytes: (bytes) => {
      if (!isRelayed) {
        return true;
      }
      if (isEventStream) {
        return takeEvents(bytes);
      }
      const mayGoOn = relay.write(bytes);
      tellWentOn();
      return mayGoOn;
    },
    takeEnd: () => {
      if (!isRelayed) {
        return;
      }
      if (splitter.getRest() > 0) {
        events.failed('broken');
        return;
      }
      relay.end();
      events.ended(relay.getEvents());
    },
    takeFailure: (failure) => {
      events.failed(failure);
    },
  };
};
