import type { RoutingState } from '../routingState.js';
import { dropLoad } from './dropLoad.js';

/** The figures of a target that has not reported for this long may be about another state of it. */
const REPORT_RETENTION_MS = 5_000;

/** Drops the reports of load that are too old, so that the slots in the list count again. */
export const dropOldLoads = (state: RoutingState, nowMs: number): RoutingState => {
  const old = [...state.targets.values()].filter(
    ({ load }) => load !== undefined && nowMs - load.reportedAtMs > REPORT_RETENTION_MS,
  );
  return old.reduce((current, { listed }) => dropLoad(current, listed.id), state);
};
