import { isPeerAlive } from '../peers/isPeerAlive.js';
import type { Refusal } from '../requests/refusal.js';
import type { RoutingState } from '../routingState.js';
import type { StepContext } from '../steps/stepContext.js';
import { findQuarantine } from './findQuarantine.js';
import { getQuarantineKey } from './getQuarantineKey.js';
import { getQuarantineRefusal } from './getQuarantineRefusal.js';
import type { Quarantine } from './quarantine.js';
import { updatePromptFaults } from './updatePromptFaults.js';

const HOLD_GROWTH = 2;
const MAX_HOLD_MS = 3_600_000;
/** The entries may start a trial one after the other, so that not all of them send a request at once. */
const TRIAL_STAGGER_MS = 2_000;

type PromptAdmission =
  | { readonly type: 'refused'; readonly refusal: Refusal; readonly promptParts: string }
  | {
      readonly type: 'admitted';
      readonly state: RoutingState;
      /** The prompt is under quarantine and is admitted to find out whether it still crashes targets. */
      readonly trialOf?: string;
    };

/** The number of live entries whose host names sort before that of this one. */
const getRank = (state: RoutingState, { settings, nowMs }: StepContext): number =>
  [...state.peers.values()].filter(
    (peer) =>
      isPeerAlive(peer, nowMs) && !peer.digest.isLeaving && peer.digest.host < settings.host,
  ).length;

const startTrial = (state: RoutingState, quarantine: Quarantine, nowMs: number): RoutingState => {
  const holdMs = Math.min(quarantine.holdMs * HOLD_GROWTH, MAX_HOLD_MS);
  const onTrial = { ...quarantine, suspectedSinceMs: nowMs, heldUntilMs: nowMs + holdMs, holdMs };
  const { quarantines } = state.promptFaults;
  return updatePromptFaults(state, {
    quarantines: quarantines.set(getQuarantineKey(quarantine.parts), onTrial),
    isReportDue: true,
    isPersistenceDue: true,
  });
};

/**
 * Refuses an arriving request under quarantine. Once the quarantine has been held for its time, one request is admitted
 * as a trial; the quarantine is held for longer meanwhile, and released if a target answers.
 */
export const admitPrompt = (
  state: RoutingState,
  promptParts: readonly string[],
  context: StepContext,
): PromptAdmission => {
  const quarantine = findQuarantine(state, promptParts);
  if (quarantine === undefined) {
    return { type: 'admitted', state };
  }
  const { nowMs } = context;
  const key = getQuarantineKey(quarantine.parts);
  const trialFromMs = quarantine.heldUntilMs + getRank(state, context) * TRIAL_STAGGER_MS;
  if (nowMs >= trialFromMs) {
    return { type: 'admitted', state: startTrial(state, quarantine, nowMs), trialOf: key };
  }
  return {
    type: 'refused',
    refusal: getQuarantineRefusal(quarantine, false, nowMs),
    promptParts: key,
  };
};
