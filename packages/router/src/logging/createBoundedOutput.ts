import { write } from 'node:fs';
import type { BoundedOutput } from './boundedOutput.js';

/** Bytes that may wait for a slow reader. */
const MAX_PENDING_BYTES = 1_048_576;
/** Limits the rate to about 5,000 lines per second. */
const MAX_BYTES_PER_SECOND = 2_097_152;
/** The share of both bounds for lines of normal priority; the rest is reserved for those of higher priority. */
const NORMAL_SHARE = 0.875;
const SECOND_MS = 1_000;
const FLUSH_PERIOD_MS = 50;
const WRITE_RETRY_MS = 20;
/** A pipe writes this many bytes atomically, so that lines of other writers do not end up within one of these. */
const MAX_WRITE_BYTES = 4_096;
/** How long disposal waits for the reader to take the remaining lines. */
const FINAL_FLUSH_TIMEOUT_MS = 200;

/** Creates an output that writes in batches, outside of the event loop. */
export const createBoundedOutput = (
  descriptor: number,
  getNowMs: () => number = () => performance.now(),
): BoundedOutput => {
  let pending: string[] = [];
  let pendingBytes = 0;
  let secondStartedAtMs = getNowMs();
  let secondBytes = 0;
  let droppedLines = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  let resolveFlushed: (() => void) | undefined;
  let reportDropped: (droppedLines: number) => void = () => undefined;

  const schedule = (delayMs: number): void => {
    timer ??= setTimeout(flush, delayMs);
  };

  const writeAll = (bytes: Buffer, from: number): void => {
    write(descriptor, bytes, from, bytes.length - from, null, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => {
          writeAll(bytes, from);
        }, WRITE_RETRY_MS);
        return;
      }
      if (error === null && from + written < bytes.length) {
        writeAll(bytes, from + written);
        return;
      }
      isWriting = false;
      writeNext();
    });
  };

  const writeNext = (): void => {
    if (pending.length === 0) {
      resolveFlushed?.();
    } else if (pendingBytes >= MAX_WRITE_BYTES || resolveFlushed !== undefined) {
      flush();
    } else {
      schedule(FLUSH_PERIOD_MS);
    }
  };

  const takeBatch = (): readonly string[] => {
    const batch: string[] = [];
    let bytes = 0;
    for (const line of pending) {
      if (batch.length > 0 && bytes + line.length > MAX_WRITE_BYTES) {
        break;
      }
      batch.push(line);
      bytes += line.length;
    }
    pending = pending.slice(batch.length);
    pendingBytes -= bytes;
    return batch;
  };

  function flush(): void {
    timer = undefined;
    if (isWriting || pending.length === 0) {
      return;
    }
    const bytes = Buffer.from(takeBatch().join(''));
    isWriting = true;
    writeAll(bytes, 0);
  }

  const hasRoom = (bytes: number, share: number): boolean => {
    const nowMs = getNowMs();
    if (nowMs - secondStartedAtMs >= SECOND_MS) {
      secondStartedAtMs = nowMs;
      secondBytes = 0;
    }
    return (
      pendingBytes + bytes <= MAX_PENDING_BYTES * share &&
      secondBytes + bytes <= MAX_BYTES_PER_SECOND * share
    );
  };

  const enqueue = (line: string, share: number): void => {
    if (!hasRoom(line.length, share)) {
      droppedLines += 1;
      return;
    }
    if (droppedLines > 0) {
      const dropped = droppedLines;
      droppedLines = 0;
      reportDropped(dropped);
    }
    pending.push(line);
    pendingBytes += line.length;
    secondBytes += line.length;
    schedule(FLUSH_PERIOD_MS);
  };

  return {
    write: (line) => {
      enqueue(line, NORMAL_SHARE);
    },
    writePriority: (line) => {
      enqueue(line, 1);
    },
    setDropReporter: (report) => {
      reportDropped = report;
    },
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        if (pending.length === 0 && !isWriting) {
          resolve();
          return;
        }
        resolveFlushed = resolve;
        setTimeout(resolve, FINAL_FLUSH_TIMEOUT_MS);
        clearTimeout(timer);
        flush();
      }),
  };
};
