import type { RelayQueue } from './relayQueue.js';

/** How long frames are collected into one datagram. */
const COLLECT_MS = 3;
/** Below the usual size of packets, so that a datagram is not split. */
const MAX_DATAGRAM_BYTES = 1_200;

const countBytes = (frames: readonly Uint8Array[]): number =>
  frames.reduce((sum, { length }) => sum + length, 0);

/** Creates a queue that passes the frames of a short time together. */
export const createRelayQueue = ({
  relay,
  schedule,
}: {
  /** Sends frames as one datagram to each entry of the data centre. */
  readonly relay: (frames: readonly Uint8Array[]) => void;
  /** Runs the action after the delay in milliseconds; returns a function that cancels it. */
  readonly schedule: (delayMs: number, action: () => void) => () => void;
}): RelayQueue => {
  let queued: Uint8Array[] = [];
  let cancelTimer: (() => void) | undefined;

  const stopTimer = (): void => {
    cancelTimer?.();
    cancelTimer = undefined;
  };

  const flush = (): void => {
    stopTimer();
    if (queued.length === 0) {
      return;
    }
    const frames = queued;
    queued = [];
    relay(frames);
  };

  return {
    add: (frame) => {
      if (queued.length > 0 && countBytes(queued) + frame.length > MAX_DATAGRAM_BYTES) {
        flush();
      }
      queued.push(frame);
      cancelTimer ??= schedule(COLLECT_MS, flush);
    },
    takeForOwnDatagram: (ownBytes) => {
      if (ownBytes + countBytes(queued) > MAX_DATAGRAM_BYTES) {
        flush();
      }
      stopTimer();
      const frames = queued;
      queued = [];
      return frames;
    },
    [Symbol.dispose]: stopTimer,
  };
};
