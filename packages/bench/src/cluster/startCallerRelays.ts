import type { ClusterPlan } from './clusterPlan.js';
import type { ProcessGroup } from './processGroup.js';
import { startStandIns } from './startStandIns.js';

/** Addresses of the entries for callers, each behind the delay to them. */
export const startCallerRelays = async (
  group: ProcessGroup,
  plan: ClusterPlan,
): Promise<ReadonlyMap<string, string>> => {
  const direct = plan.entries.map(({ process }) => String(group.get(process).listening.callers));
  const delayMs = plan.callerDelayMs;
  const settings =
    delayMs === 0 ? [] : direct.map((target) => ({ target, delayMs, endsWithTarget: true }));
  const relays = await startStandIns(group, { name: 'caller-relays', kind: 'relay', settings });
  return new Map(
    plan.entries.map(({ process }, place) => [process, relays[place] ?? direct[place] ?? '']),
  );
};
