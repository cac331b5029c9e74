import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { doesLowerTierWait } from '../pools/doesLowerTierWait.js';
import { findLowerTierVictim } from './findLowerTierVictim.js';
import { shedRequest } from './shedRequest.js';
import type { TrackedRequest } from './trackedRequest.js';

const VICTIMS_PER_ARRIVAL = 16;

const OVERFLOW_FACTOR = 4;

const hasRoom = ({ settings }: EntryScope, { state }: EntryStep, bodyBytes: number): boolean =>
  state.waitingCount < settings.maximumWaiting &&
  state.waitingBytes + bodyBytes <= settings.maximumWaitingBytes;

/**
 * A lower tier that waits at another entry has to be given up first. Until the side processes, which order the work of
 * all entries, have made that entry do so, this one holds more than it likes to.
 */
const hasOverflowRoom = (
  { settings, decisions }: EntryScope,
  { state }: EntryStep,
  { leaving, bodyBytes }: { readonly leaving: TrackedRequest; readonly bodyBytes: number },
): boolean =>
  decisions.shedsLowerTierElsewhereFirst(leaving.request) &&
  state.waitingCount < OVERFLOW_FACTOR * settings.maximumWaiting &&
  state.waitingBytes + bodyBytes <= settings.maximumWaitingBytes &&
  doesLowerTierWait(state, leaving.request);

/** Sheds waiting requests of lower tiers until the entry has room for one more, as far as there are any. */
export const makeRoom = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
): { readonly hasRoom: boolean; readonly step: EntryStep } => {
  const bodyBytes = tracked.request.call.body.length;
  let current = step;
  for (let count = 0; count < VICTIMS_PER_ARRIVAL; count += 1) {
    if (hasRoom(scope, current, bodyBytes)) {
      return { hasRoom: true, step: current };
    }
    const victim = scope.decisions.shedsLowerTierFirst(tracked.request)
      ? findLowerTierVictim(current.state, tracked)
      : undefined;
    if (hasOverflowRoom(scope, current, { leaving: victim ?? tracked, bodyBytes })) {
      return { hasRoom: true, step: current };
    }
    if (victim === undefined) {
      break;
    }
    current = shedRequest(scope, current, victim);
  }
  return { hasRoom: hasRoom(scope, current, bodyBytes), step: current };
};
