import { decayLoad } from '../load/decayLoad.js';
import type { RoutingState } from '../routingState.js';
import { getLatencyModel } from '../targets/getLatencyModel.js';
import { getDigestAgeMs } from './getDigestAgeMs.js';

/**
 * The requests of a service that the other entries are expected to send before their next digests, if each admits as many
 * as this entry.
 */
export const getUnheardSends = (state: RoutingState, service: string, nowMs: number): number => {
  const peerCount = state.peers.size;
  if (peerCount === 0) {
    return 0;
  }
  const admittedLoads = state.admittedLoads.get(service) ?? [];
  const busySlots = admittedLoads.reduce((sum, load) => sum + decayLoad(load, nowMs).slots, 0);
  const { meanDurationMs } = getLatencyModel(state, service);
  const sendsPerMs = busySlots / Math.max(1, meanDurationMs);
  return peerCount * sendsPerMs * getDigestAgeMs(peerCount);
};
