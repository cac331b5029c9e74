import type { ClusterPlan } from './clusterPlan.js';
import type { PlatformAddresses } from './platformAddresses.js';
import type { ProcessGroup } from './processGroup.js';
import { registerProcess } from './registerProcess.js';

/** Shows every entry in all lists. */
export const registerEntries = async (
  group: ProcessGroup,
  plan: ClusterPlan,
  platform: PlatformAddresses,
): Promise<void> => {
  for (const entry of plan.entries) {
    const { listening } = group.get(entry.process);
    for (const list of platform.listByDataCentre.values()) {
      await registerProcess(list, {
        ...entry,
        role: 'entry',
        address: String(listening.callers),
        operatorAddress: String(listening.operators),
      });
    }
  }
};
