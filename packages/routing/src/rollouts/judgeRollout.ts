import type { RoutingState } from '../routingState.js';
import { addOutcomeCounts } from './addOutcomeCounts.js';
import { findReport } from './findReport.js';
import { judgeOutcomes } from './judgeOutcomes.js';
import { newOutcomeCounts } from './newOutcomeCounts.js';
import type { OutcomeCounts } from './outcomeCounts.js';
import type { Rollout } from './rollout.js';
import type { RolloutStatus } from './rolloutStatus.js';

const addKind = (
  sums: Map<string, OutcomeCounts>,
  key: string,
  counts: OutcomeCounts,
): Map<string, OutcomeCounts> =>
  sums.set(key, addOutcomeCounts(sums.get(key) ?? newOutcomeCounts(), counts));

/** Judges a version by the responses of this entry and by the latest reports of all others, also of silent ones. */
export const judgeRollout = (
  { peers }: RoutingState,
  { status, kinds }: Rollout & { readonly status: RolloutStatus },
): ReturnType<typeof judgeOutcomes> => {
  const sums = new Map<string, OutcomeCounts>();
  kinds.forEach(({ counts }, key) => {
    addKind(sums, key, counts);
  });
  peers.forEach(({ digest }) => {
    Object.entries(findReport(digest, status)?.outcomes ?? {}).forEach(([key, counts]) => {
      addKind(sums, key, counts);
    });
  });
  const all = [...sums.values()];
  return judgeOutcomes(all, all.reduce(addOutcomeCounts, newOutcomeCounts()));
};
