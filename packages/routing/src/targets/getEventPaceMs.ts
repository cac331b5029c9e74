import type { Send } from '../requests/send.js';

const FEWEST_EVENTS = 4;

/** Time between the events of a stream, in milliseconds; undefined where there were too few to tell. */
export const getEventPaceMs = (send: Send, events: number, nowMs: number): number | undefined =>
  send.beganMs === undefined || events < FEWEST_EVENTS
    ? undefined
    : (nowMs - send.beganMs) / (events - 1);
