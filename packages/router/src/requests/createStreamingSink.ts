import { toOptionalField } from '@parsleyhall/common';
import type { Relay } from '../callers/relay.js';
import type { ResponseSink } from '../targets/responseSink.js';
import { createStreamReader } from './createStreamReader.js';
import type { EventFormat } from './eventFormat.js';
import { isEventStream } from './isEventStream.js';
import type { SendReporter } from './sendReporter.js';
import { shortenForLog } from './shortenForLog.js';
import type { StreamFault } from './streamFault.js';

const PROGRESS_REPORT_PERIOD_MS = 100;

/** Creates a sink that relays a stream event by event, so that another target can continue it after any event. */
export const createStreamingSink = (
  relay: Relay,
  reporter: SendReporter,
  eventFormat: EventFormat,
  getNowMs: () => number,
): ResponseSink => {
  const reader = createStreamReader(eventFormat, relay.getLastEventId);
  let isRelayed = false;
  let hasEvents = true;
  let hasFailed = false;
  let lastReportAtMs = -Infinity;

  const reportProgress = (): void => {
    const nowMs = getNowMs();
    if (nowMs - lastReportAtMs >= PROGRESS_REPORT_PERIOD_MS) {
      lastReportAtMs = nowMs;
      reporter.reportProgress();
    }
  };

  const fail = ({ responseFault, eventId, areEarlierInDoubt }: StreamFault): void => {
    hasFailed = true;
    if (areEarlierInDoubt) {
      reporter.reportCommitted();
    }
    reporter.reportFailure('malformed', {
      responseFault,
      ...toOptionalField('eventId', shortenForLog(eventId)),
      ...toOptionalField('lastEventId', shortenForLog(relay.getLastEventId())),
    });
  };

  const relayEvents = (bytes: Buffer): boolean => {
    const { blocks, fault } = reader.read(bytes);
    let canAcceptMore = relay.holdBuffered(reader.countIncompleteBytes());
    if (blocks[0]?.kind === 'comment' && !relay.hasSentHead()) {
      reporter.reportStarted();
    }
    for (const block of blocks) {
      const isEvent = block.kind === 'event';
      canAcceptMore = relay.write(block.bytes, isEvent ? block.id : undefined) && canAcceptMore;
      // A target that only keeps the connection open makes no progress.
      if (isEvent) {
        reportProgress();
      }
    }
    if (fault !== undefined) {
      fail(fault);
      return true;
    }
    return canAcceptMore;
  };

  return {
    handleHead: (status, headers, rawHeaders) => {
      isRelayed = reporter.reportHead(status, headers);
      hasEvents = isEventStream(status, headers, eventFormat);
      if (isRelayed && !hasEvents && relay.hasSentHead()) {
        fail({ responseFault: 'noStream', areEarlierInDoubt: false });
        return;
      }
      if (isRelayed) {
        relay.setHead(status, rawHeaders);
      }
    },
    handleBytes: (bytes) => {
      if (!isRelayed || hasFailed) {
        return true;
      }
      if (hasEvents) {
        return relayEvents(bytes);
      }
      const canAcceptMore = relay.write(bytes);
      reporter.reportCommitted();
      reportProgress();
      return canAcceptMore;
    },
    handleEnd: () => {
      if (!isRelayed || hasFailed) {
        return;
      }
      if (hasEvents && reader.hasIncompleteEvent()) {
        reporter.reportFailure('broken');
        return;
      }
      const endFault = hasEvents ? reader.findEndFault() : undefined;
      if (endFault !== undefined) {
        fail(endFault);
        return;
      }
      relay.end();
      reporter.reportEnd(relay.countEvents());
    },
    handleCancel: () => {
      relay.holdBuffered(0);
    },
    handleFailure: (failure, _, fault) => {
      relay.holdBuffered(0);
      if (!hasFailed) {
        reporter.reportFailure(failure, fault);
      }
    },
  };
};
