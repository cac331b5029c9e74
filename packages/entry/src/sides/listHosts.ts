import type { EntryEvent } from '../entryEvent.js';
import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import type { ListedHost } from '../listedHost.js';
import { storeRequest } from '../requests/storeRequest.js';
import { forEachRequest } from '../requests/forEachRequest.js';
import { emit } from '../steps/emit.js';
import { forEachStep } from '../steps/forEachStep.js';
import { withState } from '../steps/withState.js';
import { breakLink } from './breakLink.js';
import { chooseSubset } from './chooseSubset.js';
import { newSideLink } from './newSideLink.js';
import type { SideLink } from './sideLink.js';
import { updateLink } from './updateLink.js';

const takeListed = (scope: EntryScope, step: EntryStep, listed: ListedHost): EntryStep => {
  const link = step.state.sides.get(listed.side);
  const { side, address, host, isLeaving } = listed;
  if (link === undefined) {
    const sides = step.state.sides.set(side, newSideLink(listed));
    return emit(withState(step, { sides }), { type: 'openSide', side, address });
  }
  const known = updateLink(step, side, {
    address,
    host,
    isListed: true,
    isListedLeaving: isLeaving,
  });
  if (link.address === address) {
    return known;
  }
  const broken = breakLink(scope, known, side);
  return emit(broken, { type: 'closeSide', side }, { type: 'openSide', side, address });
};

/** Gives requests bound to a side process that is neither listed nor connected a last time to be settled. */
const limitSettling = (scope: EntryScope, step: EntryStep, link: SideLink): EntryStep =>
  forEachRequest(step, link.bound, (current, tracked) => {
    const dueAtMs = Math.min(tracked.dueAtMs, scope.nowMs + scope.settings.settleAllowanceMs);
    return storeRequest(current, { ...tracked, dueAtMs });
  });

const takeUnlisted = (scope: EntryScope, step: EntryStep, link: SideLink): EntryStep => {
  const { side } = link;
  const unlisted = updateLink(step, side, { isListed: false });
  if (link.bound.size > 0) {
    return link.isConnected || !link.isListed ? unlisted : limitSettling(scope, unlisted, link);
  }
  const broken = breakLink(scope, unlisted, side);
  const sides = broken.state.sides.delete(side);
  return emit(withState(broken, { sides }), { type: 'closeSide', side });
};

/** Follows the platform's list: opens streams to new side processes and closes those that are gone and finished. */
export const listHosts = (
  scope: EntryScope,
  step: EntryStep,
  { hosts: listedHosts, liveEntries }: Extract<EntryEvent, { type: 'hostsListed' }>,
): EntryStep => {
  const { entry, sidesPerPool = Number.POSITIVE_INFINITY } = scope.settings;
  const hosts = chooseSubset(entry, listedHosts, sidesPerPool);
  const counted = withState(step, { liveEntries: Math.max(1, liveEntries ?? 1) });
  const taken = forEachStep(counted, hosts, (current, listed) =>
    takeListed(scope, current, listed),
  );
  const listedSides = new Set(hosts.map(({ side }) => side));
  const unlisted = taken.state.sides.valueSeq().filter(({ side }) => !listedSides.has(side));
  return forEachStep(taken, unlisted, (current, link) => takeUnlisted(scope, current, link));
};
