import { setTimeout as delay } from 'node:timers/promises';
import type { LogClient } from './logClient.js';
import type { LogFailure } from './logFailure.js';
import type { LogPage } from './logPage.js';

const MAX_PAGE_RECORDS = 256;
const LONG_POLL_MS = 5_000;
const BASE_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2_000;

type Sleep = (waitMs: number, signal: AbortSignal) => Promise<void>;

const sleep: Sleep = async (waitMs, signal) => {
  await delay(waitMs, undefined, { signal }).catch(() => undefined);
};

const getBackoffMs = (failure: LogFailure, consecutiveFailures: number): number =>
  failure.type === 'rateLimited'
    ? failure.retryAfterMs
    : Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** consecutiveFailures);

/**
 * Reads a stream page by page, starting at offset `from`, until the signal aborts. Failed reads are retried with an
 * exponential backoff, or after the delay given by a rate limit. Trimmed records are skipped: `onFailure` receives
 * `trimmed`, and the next page starts at the oldest retained offset. After a full page the next one is requested
 * without delay, so `onPage` should return quickly.
 */
export const followStream = async ({
  client,
  stream,
  from,
  onPage,
  onFailure,
  signal,
  wait = sleep,
  longPollMs = LONG_POLL_MS,
  maxPageRecords = MAX_PAGE_RECORDS,
  getFirstNeededOffset = () => from,
}: {
  readonly client: Pick<LogClient, 'read'>;
  readonly stream: string;
  readonly from: number;
  readonly onPage: (page: LogPage) => void;
  readonly onFailure: (failure: LogFailure) => void;
  readonly signal: AbortSignal;
  readonly wait?: Sleep;
  readonly longPollMs?: number;
  /** Maximum number of records per page; a low number keeps the event loop responsive if records are slow to handle. */
  readonly maxPageRecords?: number;
  /**
   * Returns the lowest offset that the caller still needs; called before each read. Lets the caller skip records whose
   * content it has received in another way.
   */
  readonly getFirstNeededOffset?: () => number;
}): Promise<void> => {
  let nextOffset = from;
  let consecutiveFailures = 0;
  const handlePage = (page: LogPage): number => {
    consecutiveFailures = 0;
    nextOffset = page.nextOffset;
    onPage(page);
    return 0;
  };
  const handleFailure = (failure: LogFailure): number => {
    onFailure(failure);
    if (failure.type === 'trimmed') {
      nextOffset = failure.earliestOffset;
      return 0;
    }
    consecutiveFailures += 1;
    return getBackoffMs(failure, consecutiveFailures);
  };
  const isAborted = (): boolean => signal.aborted;
  while (!isAborted()) {
    const page = await client.read({
      stream,
      from: Math.max(nextOffset, getFirstNeededOffset()),
      limit: maxPageRecords,
      waitMs: longPollMs,
      signal,
    });
    if (isAborted()) {
      return;
    }
    const waitMs = page.caseOf({ Left: handleFailure, Right: handlePage });
    if (waitMs > 0) {
      await wait(waitMs, signal);
    }
  }
};
