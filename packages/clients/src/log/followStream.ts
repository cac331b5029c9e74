import { setTimeout as delay } from 'node:timers/promises';
import type { LogClient } from './logClient.js';
import type { LogFailure } from './logFailure.js';
import type { LogPage } from './logPage.js';

const PAGE_RECORDS = 256;
const LONG_POLL_MS = 5_000;
const FIRST_BACKOFF_MS = 50;
const LONGEST_BACKOFF_MS = 2_000;

type Wait = (waitMs: number, signal: AbortSignal) => Promise<void>;

const waitForTime: Wait = async (waitMs, signal) => {
  await delay(waitMs, undefined, { signal }).catch(() => undefined);
};

const getBackoffMs = (failure: LogFailure, failures: number): number =>
  failure.type === 'rateLimited'
    ? failure.retryAfterMs
    : Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** failures);

/**
 * Reads a stream from an offset on until the signal aborts, page after page in order. Records past their retention are
 * skipped: `onFailure` is told `trimmed`, and the next page begins at the earliest offset kept. A full page is followed
 * by the next at once, so `onPage` should be quick.
 */
export const followStream = async ({
  client,
  stream,
  from,
  onPage,
  onFailure,
  signal,
  wait = waitForTime,
  longPollMs = LONG_POLL_MS,
  pageRecords = PAGE_RECORDS,
  getWantedFrom = () => from,
}: {
  readonly client: Pick<LogClient, 'read'>;
  readonly stream: string;
  readonly from: number;
  readonly onPage: (page: LogPage) => void;
  readonly onFailure: (failure: LogFailure) => void;
  readonly signal: AbortSignal;
  readonly wait?: Wait;
  readonly longPollMs?: number;
  /** Records of a page at most; fewer keep the loop free where a record takes long to work on. */
  readonly pageRecords?: number;
  /** First offset that is still wanted, asked before each read; lets a reader skip what it came to know otherwise. */
  readonly getWantedFrom?: () => number;
}): Promise<void> => {
  let nextOffset = from;
  let failures = 0;
  const takePage = (page: LogPage): number => {
    failures = 0;
    nextOffset = page.nextOffset;
    onPage(page);
    return 0;
  };
  const takeFailure = (failure: LogFailure): number => {
    onFailure(failure);
    if (failure.type === 'trimmed') {
      nextOffset = failure.earliestOffset;
      return 0;
    }
    failures += 1;
    return getBackoffMs(failure, failures);
  };
  const isAborted = (): boolean => signal.aborted;
  while (!isAborted()) {
    const page = await client.read({
      stream,
      from: Math.max(nextOffset, getWantedFrom()),
      limit: pageRecords,
      waitMs: longPollMs,
      signal,
    });
    if (isAborted()) {
      return;
    }
    const waitMs = page.caseOf({ Left: takeFailure, Right: takePage });
    if (waitMs > 0) {
      await wait(waitMs, signal);
    }
  }
};
