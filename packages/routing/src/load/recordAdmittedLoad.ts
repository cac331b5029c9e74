import type { RankedRequest } from '../queue/rankedRequest.js';
import type { RoutingState } from '../routingState.js';
import { predictDurationMs } from '../targets/predictDurationMs.js';
import { getLatencyModel } from '../targets/getLatencyModel.js';
import { decayLoad } from '../load/decayLoad.js';

/** Adds a newly admitted request to the admitted load of its priority. */
export const recordAdmittedLoad = (
  state: RoutingState,
  { request, priority, priorityClass }: RankedRequest,
  nowMs: number,
): RoutingState => {
  const { service } = request;
  const admittedLoads = state.admittedLoads.get(service) ?? [];
  const known = admittedLoads.find(
    (load) => load.priority === priority && load.priorityClass === priorityClass,
  );
  const others = admittedLoads.filter((load) => load !== known);
  const before = known ?? { priority, priorityClass, slots: 0, atMs: nowMs };
  const expectedDurationMs = predictDurationMs(request, getLatencyModel(state, service));
  return {
    ...state,
    admittedLoads: state.admittedLoads.set(service, [
      ...others,
      decayLoad(before, nowMs, expectedDurationMs),
    ]),
  };
};
