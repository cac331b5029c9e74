import { decodeSender } from './decodeSender.js';
import type { Sender } from './sender.js';

/** Bounds the memory for decoded senders; beyond it, all are dropped and decoded again. */
const MAX_SENDERS = 2_048;

/** Creates a decoder that decodes each sender once; it throws if a sender is malformed. */
export const createSenderDecoder = (): ((bytes: Uint8Array) => Sender) => {
  const sendersByBytes = new Map<string, Sender>();
  return (bytes) => {
    const key = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString('latin1');
    const known = sendersByBytes.get(key);
    if (known !== undefined) {
      return known;
    }
    const sender = decodeSender(bytes);
    if (sendersByBytes.size >= MAX_SENDERS) {
      sendersByBytes.clear();
    }
    sendersByBytes.set(key, sender);
    return sender;
  };
};
