import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { RoutingState } from '../routingState.js';
import type { SendFailure } from '../sendFailure.js';
import { isMemoryLikelyExceeded } from '../memory/isMemoryLikelyExceeded.js';
import type { BrokenSends } from '../targets/brokenSends.js';
import { updateTarget } from '../targets/updateTarget.js';
import { addEvidence } from './addEvidence.js';
import { confirmCrash } from './confirmCrash.js';
import { getTargetStart } from '../targets/getTargetStart.js';
import { hasProvenItself } from './hasProvenItself.js';
import { updatePromptFaults } from './updatePromptFaults.js';

/** Sends that break off within this time of one another broke off together. */
const TOGETHER_MS = 200;
/** Fewer sends that break off together may have been reset one by one. */
const MIN_SENDS_OF_CRASH = 2;

const countTogether = (
  previous: BrokenSends | undefined,
  isMemoryExceeded: boolean,
  nowMs: number,
): BrokenSends =>
  previous === undefined || nowMs - previous.firstAtMs > TOGETHER_MS
    ? { firstAtMs: nowMs, count: 1, isMemoryExceeded }
    : { ...previous, count: previous.count + 1, isMemoryExceeded };

const suspectRequest = (
  state: RoutingState,
  { sharedPromptParts: parts, send }: TrackedRequest,
  targetStart: string,
  nowMs: number,
): RoutingState => {
  if (parts.length === 0 || send === undefined || hasProvenItself(send)) {
    return state;
  }
  const evidence = { targetStart, atMs: nowMs, parts, isLocal: true, isConfirmed: false };
  const suspicions = addEvidence(state.promptFaults.suspicions, evidence);
  return updatePromptFaults(state, { suspicions });
};

const recordBrokenSend = (
  state: RoutingState,
  request: TrackedRequest,
  targetId: string,
  nowMs: number,
): RoutingState => {
  const target = state.targets.get(targetId);
  const targetStart = getTargetStart(state, targetId);
  const isMemoryExceeded = isMemoryLikelyExceeded(state, targetId, nowMs);
  if (target === undefined) {
    return isMemoryExceeded
      ? state
      : confirmCrash(suspectRequest(state, request, targetStart, nowMs), targetStart);
  }
  const brokenSends = countTogether(target.brokenSends, isMemoryExceeded, nowMs);
  const suspected = brokenSends.isMemoryExceeded
    ? state
    : suspectRequest(state, request, targetStart, nowMs);
  const counted = updateTarget(suspected, targetId, (known) => ({ ...known, brokenSends }));
  const hasEverythingBroken = target.inFlight <= 1 && brokenSends.count >= MIN_SENDS_OF_CRASH;
  return hasEverythingBroken ? confirmCrash(counted, targetStart) : counted;
};

/**
 * Records a failed send as possible evidence that its prompt crashed the target. The target counts as crashed once
 * everything that this entry had there has broken off together, or it accepts no connection afterwards. A target whose
 * memory was full may have crashed for that, which says nothing about any prompt.
 */
export const recordSendFailure = (
  state: RoutingState,
  request: TrackedRequest,
  failure: SendFailure,
  nowMs: number,
): RoutingState => {
  const { send } = request;
  if (send === undefined) {
    return state;
  }
  switch (failure) {
    case 'broken':
      return recordBrokenSend(state, request, send.targetId, nowMs);
    case 'neverSent':
      return confirmCrash(state, getTargetStart(state, send.targetId));
    case 'malformed':
    case 'silent':
      return state;
  }
};
