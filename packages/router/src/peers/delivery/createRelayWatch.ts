import type { RelayWatch } from './relayWatch.js';

/** Frames are being relayed to this data centre if a frame has shown it within this time. */
const DUE_WITHIN_MS = 2_000;

/** Creates a watch that has not recorded a frame. */
export const createRelayWatch = (): RelayWatch => {
  let silentSinceMs = 0;
  /** When a frame last showed that frames are being relayed to this data centre. */
  let dueAtMs = -Infinity;
  return {
    record: (delivery, nowMs) => {
      if (delivery === 'direct') {
        return;
      }
      if (delivery === 'relayed' || nowMs - dueAtMs > DUE_WITHIN_MS) {
        silentSinceMs = nowMs;
      }
      dueAtMs = nowMs;
    },
    getSilentMs: (nowMs) => (nowMs - dueAtMs > DUE_WITHIN_MS ? 0 : nowMs - silentSinceMs),
    restart: (nowMs) => {
      silentSinceMs = nowMs;
    },
  };
};
