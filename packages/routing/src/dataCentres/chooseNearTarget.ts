import { hasFreeSlot } from '../targets/hasFreeSlot.js';
import { selectUsable } from '../targets/selectUsable.js';
import { chooseContestedTarget } from './chooseContestedTarget.js';
import { chooseLateTarget } from './chooseLateTarget.js';
import { chooseSpreadTarget } from './chooseSpreadTarget.js';
import { isAtHome } from './isAtHome.js';
import { isFailing } from './isFailing.js';
import { meetsObjective } from './meetsObjective.js';
import type { NearChoice } from './nearChoice.js';
import { newTargetChoice } from './newTargetChoice.js';
import { selectOpenRemote } from './selectOpenRemote.js';
import type { TargetChoice } from './targetChoice.js';

/** Requests sent at the same time per free slot beyond which a first attempt is likely to be rejected. */
const MAX_CONTENTION = 1;
/** The same for another attempt, after which a request may get no further one. */
const MAX_RETRY_CONTENTION = 0.5;

const isHomeContested = ({ request, locality }: NearChoice): boolean =>
  locality.homeContention >
  (request.triedTargetIds.length > 0 ? MAX_RETRY_CONTENTION : MAX_CONTENTION);

/**
 * Chooses a target for a request: one at home if it can meet the objective, else one in another data centre if that can,
 * else the better of the two. Returns undefined if the request waits.
 */
export const chooseNearTarget = (choice: NearChoice): TargetChoice | undefined => {
  const { request, predictions, locality, canWait, nowMs } = choice;
  const { dataCentre, host, policy, isHomeSlow, isHomeWorking } = locality;
  const key = `${host}\u0000${request.requestId}`;
  const usable = selectUsable(request, predictions, nowMs);
  if (!isHomeWorking) {
    const free = usable.filter(hasFreeSlot);
    const working = free.filter(({ candidate: { target } }) => !isFailing(target));
    const chosen = chooseSpreadTarget(working.length === 0 ? free : working, key);
    return newTargetChoice(chosen, dataCentre, 'noTarget');
  }

  const usableAtHome = usable.filter((prediction) => isAtHome(prediction, locality));
  const freeAtHome = isHomeSlow
    ? []
    : usableAtHome.filter(
        (prediction) => hasFreeSlot(prediction) && meetsObjective(request, prediction, 0, nowMs),
      );
  if (freeAtHome.length > 0 && !isHomeContested(choice)) {
    return newTargetChoice(chooseSpreadTarget(freeAtHome, key), dataCentre, 'home');
  }

  if (freeAtHome.length === 0 && canWait) {
    return undefined;
  }
  const remote = selectOpenRemote(choice, usable);
  const goodRemote = remote.filter((prediction) =>
    meetsObjective(request, prediction, policy.delayMs, nowMs),
  );
  if (freeAtHome.length > 0) {
    return chooseContestedTarget(choice, freeAtHome, goodRemote, key);
  }
  return goodRemote.length > 0
    ? newTargetChoice(
        chooseSpreadTarget(goodRemote, key),
        dataCentre,
        usableAtHome.some(hasFreeSlot) ? 'late' : 'noRoom',
      )
    : chooseLateTarget(choice, usableAtHome, remote, key);
};
