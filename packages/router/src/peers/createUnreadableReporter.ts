import type { PeerExchangeContext } from './peerExchangeContext.js';

const LOG_INTERVAL_MS = 1_000;

/** Counts each datagram that could not be read, and logs one a second. */
export const createUnreadableReporter = ({
  count,
  log,
  getNowMs,
}: {
  readonly count: (reason: 'version' | 'malformed') => void;
  readonly log: (detail: string) => void;
  readonly getNowMs: () => number;
}): PeerExchangeContext['reportUnreadable'] => {
  let loggedAtMs = -Infinity;
  return (reason, address) => {
    count(reason.type);
    if (getNowMs() - loggedAtMs < LOG_INTERVAL_MS) {
      return;
    }
    loggedAtMs = getNowMs();
    log(
      reason.type === 'version'
        ? `digest of format version ${reason.version} from ${address}`
        : `malformed digest from ${address}: ${reason.detail}`,
    );
  };
};
