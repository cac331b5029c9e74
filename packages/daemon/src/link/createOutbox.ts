import { encodeBatch } from '@parsleyhall/protocol';
import type { Outbox } from './outbox.js';

const BATCH_BYTES = 262_144;

/**
 * Gathers the messages of one turn of the event loop into one write: an engine ends a step of many answers at once, and
 * every write costs far more than a message in it.
 */
export const createOutbox = (write: (batch: Uint8Array) => void): Outbox => {
  let pending: Uint8Array[] = [];
  let pendingBytes = 0;

  const flush = (): void => {
    if (pending.length === 0) {
      return;
    }
    const messages = pending;
    pending = [];
    pendingBytes = 0;
    write(encodeBatch(messages));
  };

  return {
    push: (message) => {
      if (pending.length === 0) {
        setImmediate(flush);
      }
      pending.push(message);
      pendingBytes += message.length;
      if (pendingBytes >= BATCH_BYTES) {
        flush();
      }
    },
    flush,
  };
};
