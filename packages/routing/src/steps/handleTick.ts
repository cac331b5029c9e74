import { applyUnusedConfirmation } from '../configuration/applyUnusedConfirmation.js';
import { accrueAllowances } from '../limits/accrueAllowances.js';
import { markOverdueTargets } from '../dataCentres/markOverdueTargets.js';
import { reportLostPeers } from '../peers/reportLostPeers.js';
import { sendDigestIfDue } from '../peers/sendDigestIfDue.js';
import { decideQuarantines } from '../quarantine/decideQuarantines.js';
import { dropOldSuspicions } from '../quarantine/dropOldSuspicions.js';
import { persistQuarantines } from '../quarantine/persistQuarantines.js';
import { persistQuotas } from '../quota/persistQuotas.js';
import { advanceRollouts } from '../rollouts/advanceRollouts.js';
import { markDepartedPeers } from '../rollouts/markDepartedPeers.js';
import type { RoutingState } from '../routingState.js';
import { dropOldLoads } from '../targetLoad/dropOldLoads.js';
import { chainStep } from './chainStep.js';
import { createStepResult } from './createStepResult.js';
import { detectClockJump } from './detectClockJump.js';
import { checkTimeouts } from './checkTimeouts.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { runStepForEach } from './runStepForEach.js';
import { refuseUnservable } from './refuseUnservable.js';
import { refuseWithoutRoom } from './refuseWithoutRoom.js';
import type { StepResult } from './stepResult.js';
import type { StepContext } from './stepContext.js';

/** Runs the periodic checks of all requests and sends a digest to the other entries. */
export const handleTick = (state: RoutingState, context: StepContext): StepResult => {
  const accrued = accrueAllowances(dropOldLoads(state, context.nowMs), context);
  const clocksChecked = detectClockJump(applyUnusedConfirmation(accrued, context), context);
  const peersChecked = chainStep(clocksChecked, (current) =>
    reportLostPeers(markDepartedPeers(current, context.nowMs), context.nowMs),
  );
  const promptsChecked = chainStep(peersChecked, (current) =>
    decideQuarantines(dropOldSuspicions(current, context.nowMs), context),
  );
  const requestsChecked = chainStep(promptsChecked, (current) =>
    runStepForEach(current, current.requests.keys(), (next, requestId) => {
      const request = next.requests.get(requestId);
      return request === undefined ? createStepResult(next) : checkTimeouts(next, request, context);
    }),
  );
  const rolloutsAdvanced = chainStep(requestsChecked, (current) =>
    advanceRollouts(current, context),
  );
  const targetsMarked = chainStep(rolloutsAdvanced, (current) =>
    createStepResult(markOverdueTargets(current, context)),
  );
  const unservableRefused = chainStep(targetsMarked, (current) =>
    refuseUnservable(current, context),
  );
  const withoutRoomRefused = chainStep(unservableRefused, (current) =>
    refuseWithoutRoom(current, context),
  );
  const dispatched = chainStep(withoutRoomRefused, (current) =>
    runStepForEach(current, current.waiting.keys(), (next, service) =>
      dispatchWaiting(next, service, context),
    ),
  );
  const quotasPersisted = chainStep(dispatched, (current) => persistQuotas(current, context));
  const quarantinesPersisted = chainStep(quotasPersisted, (current) =>
    persistQuarantines(current, context),
  );
  return chainStep(quarantinesPersisted, (current) => sendDigestIfDue(current, context));
};
