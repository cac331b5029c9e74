import type { StartQueue } from './startQueue.js';
import { isReadLate } from './isReadLate.js';
import type { ReadDelayMonitor } from './readDelayMonitor.js';

/** While connections wait to be accepted, a request starts only once it has been queued for longer than this. */
const MIN_WAIT_DURING_BACKLOG_MS = 150;
/** While connections wait to be accepted, at most one request starts in this many turns of the event loop. */
const TURNS_BETWEEN_STARTS_DURING_BACKLOG = 4;
/** Requests are started for this long in one turn; then the sockets are read again before more requests start. */
const MAX_START_BATCH_MS = 20;
/**
 * A request that was read late waits for this many turns, since the event loop reads the end of a connection one turn
 * after its last bytes.
 */
const TURNS_TO_DETECT_DISCONNECT = 2;

interface QueuedRequest {
  readonly enqueuedAtMs: number;
  /** Number of the first event-loop turn in which the request may start. */
  readonly earliestTurn: number;
  readonly start: () => void;
  readonly discard: () => void;
  readonly hasCallerLeft: () => boolean;
  readonly stopWatchingCaller: () => void;
}

/**
 * Creates an empty queue. While connections wait to be accepted, the requests that were already read wait in this queue
 * so that those connections are accepted first: a caller's disconnect is noticed only on a connection that is read.
 */
export const createStartQueue = (
  readDelayMonitor: ReadDelayMonitor,
  getNowMs: () => number,
): StartQueue => {
  const queue: QueuedRequest[] = [];
  let currentTurn = 0;
  let lastStartTurn = 0;

  const canStart = (queued: QueuedRequest, batchMs: number): boolean => {
    if (currentTurn < queued.earliestTurn) {
      return false;
    }
    return readDelayMonitor.hasAcceptBacklog()
      ? currentTurn >= lastStartTurn + TURNS_BETWEEN_STARTS_DURING_BACKLOG &&
          getNowMs() - queued.enqueuedAtMs > MIN_WAIT_DURING_BACKLOG_MS
      : batchMs < MAX_START_BATCH_MS;
  };

  const processQueue = (): void => {
    currentTurn += 1;
    const batchStartedAtMs = getNowMs();
    for (let next = queue[0]; next !== undefined; next = queue[0]) {
      const hasCallerLeft = next.hasCallerLeft();
      if (!hasCallerLeft && !canStart(next, getNowMs() - batchStartedAtMs)) {
        setImmediate(processQueue);
        return;
      }
      queue.shift();
      next.stopWatchingCaller();
      if (hasCallerLeft) {
        next.discard();
      } else {
        lastStartTurn = currentTurn;
        next.start();
      }
    }
  };

  const enqueue = (queued: QueuedRequest): void => {
    queue.push(queued);
    if (queue.length === 1) {
      setImmediate(processQueue);
    }
  };

  return {
    startOrEnqueue: ({ request: { socket }, response, earliestArrivalAtMs, start, discard }) => {
      const enqueuedAtMs = getNowMs();
      const wasReadLate = isReadLate(earliestArrivalAtMs, enqueuedAtMs);
      if (queue.length === 0 && !wasReadLate && !readDelayMonitor.hasAcceptBacklog()) {
        start();
        return;
      }
      let hasEnded = false;
      const recordEnd = (): void => {
        hasEnded = true;
      };
      socket.once('end', recordEnd);
      enqueue({
        enqueuedAtMs,
        earliestTurn: wasReadLate ? currentTurn + TURNS_TO_DETECT_DISCONNECT : currentTurn,
        start,
        discard,
        hasCallerLeft: () => hasEnded || socket.destroyed || response.destroyed,
        stopWatchingCaller: () => {
          socket.removeListener('end', recordEnd);
        },
      });
    },
  };
};
