import { encodeBatch } from '@parsleyhall/protocol';
import type { MessageBatcher } from './messageBatcher.js';

const MAX_BATCH_BYTES = 262_144;

/**
 * Creates a batcher that writes the messages of one event loop turn together: an engine finishes a step of many responses
 * at once, and each write costs far more than each message in it.
 */
export const createMessageBatcher = (write: (batch: Uint8Array) => void): MessageBatcher => {
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
      if (pendingBytes >= MAX_BATCH_BYTES) {
        flush();
      }
    },
    flush,
  };
};
