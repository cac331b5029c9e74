import { getPeerTimeoutMs } from '../peers/getPeerTimeoutMs.js';
import type { RoutingState } from '../routingState.js';

const LEASE_MS = 2_500;
/** The part of the time to stop that may pass before an entry that is cut off stops. */
const STOP_SHARE = 0.5;

/**
 * How long an entry may rely on the status records that it has read, in milliseconds. It is longer than the time after
 * which a silent entry counts as lost.
 */
export const getLeaseMs = ({ peers, settings }: RoutingState): number =>
  Math.max(
    Math.min(LEASE_MS, (settings.rollouts?.stopWithinMs ?? Infinity) * STOP_SHARE),
    getPeerTimeoutMs(peers.size),
  );
