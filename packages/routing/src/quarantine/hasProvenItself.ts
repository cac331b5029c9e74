import type { Send } from '../requests/send.js';

/**
 * Whether a target has gone on with the response after its first piece. The first piece alone proves nothing: a target
 * may write it and crash.
 */
export const hasProvenItself = ({ firstByteAtMs, lastByteAtMs }: Send): boolean =>
  firstByteAtMs !== undefined && lastByteAtMs > firstByteAtMs;
