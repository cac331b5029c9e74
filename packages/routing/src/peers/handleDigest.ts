import { chargeQuota } from '../quota/chargeQuota.js';
import { mergeLimits } from '../limits/mergeLimits.js';
import { mergePromptReport } from '../quarantine/mergePromptReport.js';
import { mergeRecentQuotas } from '../quota/mergeRecentQuotas.js';
import { newQuotaAccount } from '../quota/newQuotaAccount.js';
import { mergeReports } from '../rollouts/mergeReports.js';
import type { RoutingState } from '../routingState.js';
import { chainStep } from '../steps/chainStep.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import type { StepContext } from '../steps/stepContext.js';
import { getPeerTimeoutMs } from './getPeerTimeoutMs.js';
import type { Peer } from './peer.js';
import type { PeerDigest } from './peerDigest.js';
import { replacePeerLoad } from './replacePeerLoad.js';

const isOutdated = (known: PeerDigest, digest: PeerDigest): boolean =>
  digest.incarnation < known.incarnation ||
  (digest.incarnation === known.incarnation && digest.sequence <= known.sequence);

const chargePeerUsage = (
  state: RoutingState,
  digest: PeerDigest,
  known: Peer | undefined,
  { settings, nowMs }: StepContext,
): RoutingState['quotaAccounts'] => {
  const { windowMs } = settings.quotas;
  // The usage of an entry from before its first digest may be older than the window and is not charged.
  const previousUsage =
    known === undefined
      ? digest.quotaTaken
      : known.digest.incarnation === digest.incarnation
        ? known.digest.quotaTaken
        : {};
  let quotaAccounts = state.quotaAccounts;
  for (const [team, used] of Object.entries(digest.quotaTaken)) {
    const amount = used - (previousUsage[team] ?? 0);
    if (amount !== 0) {
      const account = quotaAccounts.get(team) ?? newQuotaAccount();
      quotaAccounts = quotaAccounts.set(team, chargeQuota({ account, amount, nowMs, windowMs }));
    }
  }
  return quotaAccounts;
};

/** Stores the digest of another entry and charges its usage to the teams' quotas. */
export const handleDigest = (
  state: RoutingState,
  digest: PeerDigest,
  context: StepContext,
): StepResult => {
  const known = state.peers.get(digest.host);
  if (known !== undefined && isOutdated(known.digest, digest)) {
    return createStepResult(state);
  }
  const merged =
    digest.knowsWindow && digest.tellsRecent
      ? mergeRecentQuotas(state, digest.quotaRecent, context)
      : state;
  const counted = known?.isLost === false ? known.digest : undefined;
  const updated = {
    ...merged,
    peerInFlight: replacePeerLoad(merged.peerInFlight, counted?.inFlight ?? {}, digest.inFlight),
    peerHeldTokens: replacePeerLoad(
      merged.peerHeldTokens,
      counted?.heldTokens ?? {},
      digest.heldTokens ?? {},
    ),
    peerPendingTokens: replacePeerLoad(
      merged.peerPendingTokens,
      counted?.pendingTokens ?? {},
      digest.pendingTokens ?? {},
    ),
    newestPeerVersion: Math.max(merged.newestPeerVersion, digest.configurationVersion),
    quotaAccounts: chargePeerUsage(merged, digest, known, context),
    peers: state.peers.set(digest.host, {
      digest,
      lastHeardAtMs: context.nowMs,
      timeoutMs: getPeerTimeoutMs(state.peers.size),
      isLost: false,
    }),
  };
  const heard =
    known?.isLost === false
      ? createStepResult(updated)
      : createStepResult(updated, {
          type: 'observe',
          name: 'peerHeard',
          fields: { peer: digest.host },
        });
  const { promptReport, targetLimits = [], rollouts } = digest;
  const limited = chainStep(heard, (current) => mergeLimits(current, targetLimits, context.nowMs));
  const informed = chainStep(limited, (current) =>
    mergeReports(current, rollouts?.reports ?? [], digest.host, context),
  );
  return promptReport === undefined
    ? informed
    : chainStep(informed, (current) => mergePromptReport(current, promptReport, context));
};
