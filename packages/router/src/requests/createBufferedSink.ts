import { createByteCollector } from '../memory/createByteCollector.js';
import type { Relay } from '../callers/relay.js';
import type { ResponseSink } from '../targets/responseSink.js';
import type { RawHeaders } from './rawHeaders.js';
import type { SendReporter } from './sendReporter.js';

/** A response that is longer than this is relayed as it arrives. */
const MAX_BUFFERED_BYTES = 262_144;

/** Creates a sink that buffers a response until it is complete, so that a cut one can be retried at another target. */
export const createBufferedSink = (relay: Relay, reporter: SendReporter): ResponseSink => {
  const collector = createByteCollector();
  let hasOverflowed = false;
  let isRelayed = false;
  /** Is not a number while the response has no length. */
  let announcedBytes = NaN;
  let head: { readonly status: number; readonly rawHeaders: RawHeaders } | undefined;

  const release = (): void => {
    collector.clear();
    relay.holdBuffered(0);
  };

  const flush = (): boolean => {
    if (head === undefined) {
      return true;
    }
    relay.setHead(head.status, head.rawHeaders);
    const canAcceptMore = collector.getLength() === 0 || relay.write(collector.take());
    relay.holdBuffered(0);
    return canAcceptMore;
  };

  return {
    handleHead: (status, headers, rawHeaders) => {
      isRelayed = reporter.reportHead(status, headers);
      announcedBytes = Number(headers['content-length']);
      head = { status, rawHeaders };
    },
    handleBytes: (bytes) => {
      if (!isRelayed) {
        return true;
      }
      collector.add(bytes);
      hasOverflowed ||= collector.getLength() > MAX_BUFFERED_BYTES;
      if (!hasOverflowed) {
        // Nothing of a whole response is left to be read but its end.
        return (
          relay.holdBuffered(collector.getCapacity()) || collector.getLength() === announcedBytes
        );
      }
      const canAcceptMore = flush();
      reporter.reportCommitted();
      reporter.reportProgress();
      return canAcceptMore;
    },
    handleEnd: () => {
      if (!isRelayed) {
        return;
      }
      if (relay.hasSentHead()) {
        flush();
        relay.end();
      } else if (head !== undefined) {
        relay.setHead(head.status, head.rawHeaders);
        relay.endWithBody(collector.take());
      }
      reporter.reportEnd(0);
    },
    handleCancel: release,
    handleFailure: (failure, _, fault) => {
      release();
      reporter.reportFailure(failure, fault);
    },
  };
};
