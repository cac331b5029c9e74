import { write } from 'node:fs';
import type { BoundedOutput } from './boundedOutput.js';

const MAX_PENDING_BYTES = 1_048_576;
const FLUSH_PERIOD_MS = 50;
const RETRY_MS = 20;

/** Creates an output that writes in batches off the event loop. */
export const createBoundedOutput = (descriptor: number): BoundedOutput => {
  let pending: string[] = [];
  let pendingBytes = 0;
  let leftOut = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  let whenEmpty: (() => void) | undefined;

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
      if (pending.length > 0) {
        schedule(FLUSH_PERIOD_MS);
        return;
      }
      whenEmpty?.();
    });
  };

  function flush(): void {
    timer = undefined;
    if (isWriting || pending.length === 0) {
      return;
    }
    if (leftOut > 0) {
      pending.push(`${JSON.stringify({ event: 'linesLeftOut', lines: leftOut })}\n`);
      leftOut = 0;
    }
    const bytes = Buffer.from(pending.join(''));
    pending = [];
    pendingBytes = 0;
    isWriting = true;
    writeAll(bytes, 0);
  }

  return {
    write: (line) => {
      if (pendingBytes + line.length > MAX_PENDING_BYTES) {
        leftOut += 1;
        return;
      }
      pending.push(line);
      pendingBytes += line.length;
      schedule(FLUSH_PERIOD_MS);
    },
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        if (pending.length === 0 && !isWriting) {
          resolve();
          return;
        }
        whenEmpty = resolve;
        clearTimeout(timer);
        flush();
      }),
  };
};
