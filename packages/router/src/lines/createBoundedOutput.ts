import { write } from 'node:fs';
import type { BoundedOutput } from './boundedOutput.js';

/** What may wait for a slow reader. */
const MAX_PENDING_BYTES = 1_048_576;
/** What may be written in a second: some 5,000 lines. */
const MAX_BYTES_A_SECOND = 2_097_152;
/** The part of both bounds that is open to any line; the rest is kept for lines that go first. */
const OPEN_SHARE = 0.875;
const SECOND_MS = 1_000;
const FLUSH_PERIOD_MS = 50;
const RETRY_MS = 20;
/** A pipe takes so many bytes in one piece, so that lines of other writers do not end up within one. */
const MAX_WRITE_BYTES = 4_096;
/** How long an end waits for a reader. */
const END_WAIT_MS = 200;

/** Creates an output that writes in batches off the event loop. */
export const createBoundedOutput = (
  descriptor: number,
  getNowMs: () => number = () => performance.now(),
): BoundedOutput => {
  let pending: string[] = [];
  let pendingBytes = 0;
  let secondStartMs = getNowMs();
  let secondBytes = 0;
  let leftOut = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  let whenEmpty: (() => void) | undefined;
  let tellLeftOut: (lines: number) => void = () => undefined;

  const schedule = (delayMs: number): void => {
    timer ??= setTimeout(flush, delayMs);
  };

  const writeAll = (bytes: Buffer, from: number): void => {
    write(descriptor, bytes, from, bytes.length - from, null, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => {
          writeAll(bytes, from);
        }, RETRY_MS);
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
      whenEmpty?.();
    } else if (pendingBytes >= MAX_WRITE_BYTES || whenEmpty !== undefined) {
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
    if (nowMs - secondStartMs >= SECOND_MS) {
      secondStartMs = nowMs;
      secondBytes = 0;
    }
    return (
      pendingBytes + bytes <= MAX_PENDING_BYTES * share &&
      secondBytes + bytes <= MAX_BYTES_A_SECOND * share
    );
  };

  const put = (line: string, share: number): void => {
    if (!hasRoom(line.length, share)) {
      leftOut += 1;
      return;
    }
    if (leftOut > 0) {
      const lines = leftOut;
      leftOut = 0;
      tellLeftOut(lines);
    }
    pending.push(line);
    pendingBytes += line.length;
    secondBytes += line.length;
    schedule(FLUSH_PERIOD_MS);
  };

  return {
    write: (line) => {
      put(line, OPEN_SHARE);
    },
    writeFirst: (line) => {
      put(line, 1);
    },
    whenLeftOut: (tell) => {
      tellLeftOut = tell;
    },
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        if (pending.length === 0 && !isWriting) {
          resolve();
          return;
        }
        whenEmpty = resolve;
        setTimeout(resolve, END_WAIT_MS);
        clearTimeout(timer);
        flush();
      }),
  };
};
