import type { Relay } from '../callers/relay.js';
import type { ResponseSink } from '../targets/responseSink.js';
import { createEventSplitter } from './createEventSplitter.js';
import type { SendReporter } from './sendReporter.js';

const PROGRESS_REPORT_PERIOD_MS = 100;
/** A stream with a longer event is treated as malformed. */
const MAX_EVENT_BYTES = 1_048_576;

const isWholeNumber = (value: string): boolean => /^\d+$/.test(value);

/** Compares the id of an event with that of the last event that the caller has received. */
const compareIds = (last: string | undefined, next: string): 'next' | 'duplicate' | 'gap' => {
  if (last === undefined || !isWholeNumber(last) || !isWholeNumber(next)) {
    return 'next';
  }
  const difference = Number(next) - Number(last);
  if (difference <= 0) {
    return 'duplicate';
  }
  return difference === 1 ? 'next' : 'gap';
};

/** Creates a sink that relays a stream event by event, so that another target can continue it after any event. */
export const createStreamingSink = (
  relay: Relay,
  reporter: SendReporter,
  getNowMs: () => number,
): ResponseSink => {
  const splitter = createEventSplitter();
  let isRelayed = false;
  let isEventStream = true;
  let lastReportAtMs = -Infinity;

  const reportProgress = (): void => {
    const nowMs = getNowMs();
    if (nowMs - lastReportAtMs >= PROGRESS_REPORT_PERIOD_MS) {
      lastReportAtMs = nowMs;
      reporter.reportProgress();
    }
  };

  const relayEvents = (bytes: Buffer): boolean => {
    let canAcceptMore = true;
    for (const { bytes: block, isEvent, id } of splitter.push(bytes)) {
      const order = id === undefined ? 'next' : compareIds(relay.getLastEventId(), id);
      if (order === 'gap' && relay.countEvents() > 0) {
        reporter.reportFailure('malformed');
        return true;
      }
      if (order !== 'duplicate') {
        canAcceptMore = relay.write(block, id);
        // A target that only keeps the connection open makes no progress.
        if (isEvent) {
          reportProgress();
        }
      }
    }
    if (splitter.countIncompleteBytes() > MAX_EVENT_BYTES) {
      reporter.reportFailure('malformed');
    }
    return canAcceptMore;
  };

  return {
    handleHead: (status, headers, rawHeaders) => {
      isRelayed = reporter.reportHead(status, headers);
      isEventStream = headers['content-type']?.includes('text/event-stream') ?? false;
      if (isRelayed) {
        relay.setHead(status, rawHeaders);
      }
    },
    handleBytes: (bytes) => {
      if (!isRelayed) {
        return true;
      }
      if (isEventStream) {
        return relayEvents(bytes);
      }
      const canAcceptMore = relay.write(bytes);
      reportProgress();
      return canAcceptMore;
    },
    handleEnd: () => {
      if (!isRelayed) {
        return;
      }
      if (splitter.countIncompleteBytes() > 0) {
        reporter.reportFailure('broken');
        return;
      }
      relay.end();
      reporter.reportEnd(relay.countEvents());
    },
    handleFailure: (failure) => {
      reporter.reportFailure(failure);
    },
  };
};
