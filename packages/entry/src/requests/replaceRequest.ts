import type { RequestId, SideId } from '@parsleyhall/common';
import type { EntryState } from '../entryState.js';
import { newPoolState } from '../pools/newPoolState.js';
import { changeTeamWaiting } from '../teams/changeTeamWaiting.js';
import { getWaitingRank } from './getWaitingRank.js';
import { isWaiting } from './isWaiting.js';
import type { TrackedRequest } from './trackedRequest.js';

type Direction = 1 | -1;

const indexSides = (
  state: EntryState,
  { request, phase }: TrackedRequest,
  direction: Direction,
): EntryState => {
  if (phase.type === 'claiming' || phase.type === 'joining') {
    return state;
  }
  const field = phase.type === 'waiting' ? 'reserved' : 'bound';
  const sides: readonly SideId[] = phase.type === 'waiting' ? phase.reservedAt : [phase.side];
  if (sides.length === 0) {
    return state;
  }
  const changed = state.sides.withMutations((links) => {
    for (const side of sides) {
      const link = links.get(side);
      if (link !== undefined) {
        const members = link[field];
        links.set(side, {
          ...link,
          [field]:
            direction === 1 ? members.add(request.requestId) : members.delete(request.requestId),
        });
      }
    }
  });
  return { ...state, sides: changed };
};

const indexPool = (
  state: EntryState,
  tracked: TrackedRequest,
  direction: Direction,
): EntryState => {
  const { phase } = tracked;
  if (!isWaiting(tracked)) {
    return state;
  }
  const { pool, requestId } = tracked.request;
  const rank = getWaitingRank(tracked);
  const poolState = state.pools.get(pool) ?? newPoolState();
  const isUnplaced = phase.type === 'waiting' && phase.reservedAt.length === 0;
  const change = (index: typeof poolState.waiting) =>
    direction === 1 ? index.with(rank, requestId) : index.without(rank, requestId);
  const changed = {
    ...poolState,
    waiting: change(poolState.waiting),
    unplaced: isUnplaced ? change(poolState.unplaced) : poolState.unplaced,
  };
  return { ...state, pools: state.pools.set(pool, changed) };
};

const indexWaiting = (
  state: EntryState,
  tracked: TrackedRequest,
  direction: Direction,
): EntryState => {
  if (!isWaiting(tracked)) {
    return state;
  }
  const { team, call } = tracked.request;
  const bytes = direction * call.body.length;
  return {
    ...state,
    waitingCount: state.waitingCount + direction,
    waitingBytes: state.waitingBytes + bytes,
    teams: changeTeamWaiting(state.teams, team, direction, bytes),
  };
};

const index = (state: EntryState, tracked: TrackedRequest, direction: Direction): EntryState => {
  const { requestId } = tracked.request;
  const due =
    direction === 1
      ? state.due.with(tracked.dueAtMs, requestId)
      : state.due.without(tracked.dueAtMs, requestId);
  const withSides = indexSides({ ...state, due }, tracked, direction);
  return indexWaiting(indexPool(withSides, tracked, direction), tracked, direction);
};

/** Puts a request in place of its earlier form, or removes it, and keeps every index in step. */
export const replaceRequest = (
  state: EntryState,
  requestId: RequestId,
  next: TrackedRequest | undefined,
): EntryState => {
  const previous = state.requests.get(requestId);
  if (next !== undefined && previous?.phase === next.phase && previous.dueAtMs === next.dueAtMs) {
    return { ...state, requests: state.requests.set(requestId, next) };
  }
  const without = previous === undefined ? state : index(state, previous, -1);
  if (next === undefined) {
    return { ...without, requests: without.requests.delete(requestId) };
  }
  const withNext = index(without, next, 1);
  return { ...withNext, requests: withNext.requests.set(requestId, next) };
};
