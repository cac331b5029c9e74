import type { Send } from '../requests/send.js';

/** Fewer events give no useful estimate. */
const MIN_EVENTS = 4;

/** Mean time between the events of a stream, in milliseconds; undefined if there were too few events. */
export const getEventIntervalMs = (
  send: Send,
  events: number,
  nowMs: number,
): number | undefined =>
  send.firstByteAtMs === undefined || events < MIN_EVENTS
    ? undefined
    : (nowMs - send.firstByteAtMs) / (events - 1);
