import type { RoutingState } from '../routingState.js';
import type { StepContext } from '../steps/stepContext.js';
import type { Confirmation } from './confirmation.js';
import { getVersion } from './getVersion.js';

/** Time for the first digest of another entry to arrive after a start. */
const FIRST_DIGEST_MS = 500;

const isOutdated = (state: RoutingState, version: number, nowMs: number): boolean => {
  const mayHearOfNewer = state.peers.isEmpty() && nowMs - state.startedAtMs < FIRST_DIGEST_MS;
  return mayHearOfNewer || version < Math.max(getVersion(state), state.newestPeerVersion);
};

/**
 * Records that the configuration in force is still the platform's newest. A platform that has forgotten a version that this
 * or another entry has seen confirms nothing: keys that were revoked in the forgotten version would be accepted. An
 * entry that has just started learns from the others which versions exist.
 */
export const confirmConfiguration = (
  state: RoutingState,
  { confirmedAt, version }: Confirmation,
  { nowMs }: StepContext,
): RoutingState =>
  version !== undefined && isOutdated(state, version, nowMs)
    ? { ...state, unusedConfirmation: { confirmedAt, version } }
    : { ...state, unusedConfirmation: undefined, configurationConfirmedAt: confirmedAt };
