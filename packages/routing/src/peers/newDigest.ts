import { toOptionalField } from '@parsleyhall/common';
import { getVersion } from '../configuration/getVersion.js';
import { shareLimits } from '../limits/shareLimits.js';
import { getHeldTokensByTarget } from '../memory/getHeldTokensByTarget.js';
import { newPromptReport } from '../quarantine/newPromptReport.js';
import { getRecentQuotas } from '../quota/getRecentQuotas.js';
import { isQuotaWindowKnown } from '../quota/isQuotaWindowKnown.js';
import { shareRollouts } from '../rollouts/shareRollouts.js';
import type { RoutingState } from '../routingState.js';
import type { StepContext } from '../steps/stepContext.js';
import { getPendingTokensByTarget } from '../targetLoad/getPendingTokensByTarget.js';
import { isPeerAlive } from './isPeerAlive.js';
import type { PeerDigest } from './peerDigest.js';

const hasPeerWithoutHistory = ({ peers }: RoutingState, nowMs: number): boolean =>
  [...peers.values()].some((peer) => !peer.digest.knowsWindow && isPeerAlive(peer, nowMs));

/** The digest that this entry now sends to the others. */
export const newDigest = (
  state: RoutingState,
  { settings, nowMs }: StepContext,
  { tellsPrompts }: { readonly tellsPrompts: boolean },
): PeerDigest => {
  const targetLimits = shareLimits(state, nowMs);
  const heldTokens = getHeldTokensByTarget(state, nowMs);
  const pendingTokens = getPendingTokensByTarget(state);
  const tellsRecent = hasPeerWithoutHistory(state, nowMs);
  return {
    host: settings.host,
    incarnation: settings.incarnation,
    sequence: state.digestSequence,
    configurationVersion: getVersion(state),
    inFlight: Object.fromEntries(
      [...state.targets]
        .filter(([, { inFlight }]) => inFlight > 0)
        .map(([targetId, { inFlight }]) => [targetId, inFlight]),
    ),
    ...(Object.keys(heldTokens).length === 0 ? {} : { heldTokens }),
    ...(Object.keys(pendingTokens).length === 0 ? {} : { pendingTokens }),
    quotaTaken: Object.fromEntries(
      [...state.quotaAccounts].map(([team, { usedHere }]) => [team, usedHere]),
    ),
    quotaRecent: tellsRecent ? getRecentQuotas(state, settings, nowMs) : {},
    tellsRecent,
    knowsWindow: isQuotaWindowKnown(state, settings, nowMs),
    ...(targetLimits.length === 0 ? {} : { targetLimits }),
    ...(tellsPrompts ? toOptionalField('promptReport', newPromptReport(state, nowMs)) : {}),
    ...toOptionalField('rollouts', shareRollouts(state, nowMs)),
    isLeaving: state.isLeaving,
  };
};
