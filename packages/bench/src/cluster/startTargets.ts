import type { ClusterPlan } from './clusterPlan.js';
import type { ProcessGroup } from './processGroup.js';
import { startStandIns } from './startStandIns.js';

type TargetPlan = ClusterPlan['targets'][number];

const KINDS = ['engine', 'service'] as const;

const startShared = async (
  group: ProcessGroup,
  kind: TargetPlan['kind'],
  targets: readonly TargetPlan[],
): Promise<readonly string[]> => {
  const settings = targets.map(({ standIn }) => standIn);
  return startStandIns(group, { name: `${kind}s`, kind, settings });
};

const startApart = async (
  group: ProcessGroup,
  kind: TargetPlan['kind'],
  targets: readonly TargetPlan[],
): Promise<readonly string[]> => {
  const addresses = await Promise.all(
    targets.map(({ process, standIn }) =>
      startStandIns(group, { name: `target-of-${process}`, kind, settings: [standIn] }),
    ),
  );
  return addresses.flat();
};

/** Starts the stand-ins of all targets and answers their addresses by side process. */
export const startTargets = async (
  group: ProcessGroup,
  plan: ClusterPlan,
): Promise<ReadonlyMap<string, string>> => {
  const start = plan.sharesTargetProcesses ? startShared : startApart;
  const addresses = new Map<string, string>();
  for (const kind of KINDS) {
    const targets = plan.targets.filter((target) => target.kind === kind);
    const started = await start(group, kind, targets);
    targets.forEach(({ process }, place) => addresses.set(process, started[place] ?? ''));
  }
  return addresses;
};
