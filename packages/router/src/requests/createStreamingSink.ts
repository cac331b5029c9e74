import { toOptionalField } from '@parsleyhall/common';
import type { ResponseFault } from '@parsleyhall/routing';
import type { Relay } from '../callers/relay.js';
import type { ResponseSink } from '../targets/responseSink.js';
import { createEventOrder } from './createEventOrder.js';
import { createEventSplitter } from './createEventSplitter.js';
import type { EventFormat } from './eventFormat.js';
import { shortenForLog } from './shortenForLog.js';
import { isEventStream } from './isEventStream.js';
import type { SplitBlock } from './splitBlock.js';
import type { SendReporter } from './sendReporter.js';

const PROGRESS_REPORT_PERIOD_MS = 100;
/** A stream with a longer event is treated as malformed. */
const MAX_EVENT_BYTES = 1_048_576;

/** Creates a sink that relays a stream event by event, so that another target can continue it after any event. */
export const createStreamingSink = (
  relay: Relay,
  reporter: SendReporter,
  eventFormat: EventFormat,
  getNowMs: () => number,
): ResponseSink => {
  const splitter = createEventSplitter(eventFormat.extraFields);
  const placeEvent = createEventOrder(eventFormat, relay.getLastEventId);
  let isRelayed = false;
  let hasEvents = true;
  let lastReportAtMs = -Infinity;

  const reportProgress = (): void => {
    const nowMs = getNowMs();
    if (nowMs - lastReportAtMs >= PROGRESS_REPORT_PERIOD_MS) {
      lastReportAtMs = nowMs;
      reporter.reportProgress();
    }
  };

  const reportMalformed = (
    responseFault: ResponseFault['responseFault'],
    eventId?: string,
  ): void => {
    reporter.reportFailure('malformed', {
      responseFault,
      ...toOptionalField('eventId', shortenForLog(eventId)),
      ...toOptionalField('lastEventId', shortenForLog(relay.getLastEventId())),
    });
  };

  /** Returns whether more can be sent now; undefined if the target did not make the block as part of the stream. */
  const relayBlock = (block: SplitBlock): boolean | undefined => {
    if (block.kind === 'comment') {
      return relay.write(block.bytes);
    }
    if (block.kind === 'malformed') {
      reportMalformed('notAnEvent');
      return undefined;
    }
    if (eventFormat.isNumbered && !block.hasData) {
      reportMalformed('noData', block.id);
      return undefined;
    }
    const position = placeEvent(block.id);
    if (position === 'repeated') {
      return true;
    }
    if (position !== 'next') {
      reportMalformed(position, block.id);
      return undefined;
    }
    const canAcceptMore = relay.write(block.bytes, block.id);
    // A target that only keeps the connection open makes no progress.
    reportProgress();
    return canAcceptMore;
  };

  const relayEvents = (bytes: Buffer): boolean => {
    let canAcceptMore = true;
    for (const block of splitter.push(bytes)) {
      const result = relayBlock(block);
      if (result === undefined) {
        return true;
      }
      canAcceptMore &&= result;
    }
    if (splitter.countIncompleteBytes() > MAX_EVENT_BYTES) {
      reportMalformed('tooLong');
    }
    return canAcceptMore;
  };

  return {
    handleHead: (status, headers, rawHeaders) => {
      isRelayed = reporter.reportHead(status, headers);
      hasEvents = isEventStream(status, headers, eventFormat);
      if (isRelayed) {
        relay.setHead(status, rawHeaders);
      }
    },
    handleBytes: (bytes) => {
      if (!isRelayed) {
        return true;
      }
      if (hasEvents) {
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
