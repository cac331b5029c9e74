import type { Target } from '../targets/target.js';
import type { LoadReport } from './loadReport.js';
import type { ReportedLoad } from './reportedLoad.js';

/** A request that was sent this recently may not have been counted in a report that arrives now. */
const TRANSIT_MS = 10;

/**
 * Compares a report with the requests known in flight at its arrival. A target that reports at the end of a response may
 * or may not count that request, so a difference of one is tolerated there.
 */
export const newLoadReport = ({
  reported,
  target,
  peerInFlight,
  isAtEnd,
  isRejected,
  nowMs,
}: {
  readonly reported: ReportedLoad;
  readonly target: Target;
  /** Requests of the other entries there by their latest digests. */
  readonly peerInFlight: number;
  /** The report came with a complete response. */
  readonly isAtEnd: boolean;
  /** The target rejected the request with this report, so the report does not contain it. */
  readonly isRejected: boolean;
  readonly nowMs: number;
}): LoadReport => {
  const ownInFlight = isRejected ? Math.max(0, target.inFlight - 1) : target.inFlight;
  const difference = reported.running + reported.waiting - (ownInFlight + peerInFlight);
  const mayLackOne = isAtEnd && !isRejected && difference < 0;
  const tolerated = mayLackOne ? difference + 1 : difference;
  const isSendUnderWay =
    target.lastSentAtMs !== undefined && nowMs - target.lastSentAtMs < TRANSIT_MS;
  return {
    ...reported,
    correction: isSendUnderWay ? Math.max(0, tolerated) : tolerated,
    isFull: isRejected || reported.waiting > 0,
    reportedAtMs: nowMs,
  };
};
