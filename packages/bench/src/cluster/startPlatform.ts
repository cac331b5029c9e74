import type { ClusterPlan } from './clusterPlan.js';
import type { PlatformAddresses } from './platformAddresses.js';
import type { ProcessGroup } from './processGroup.js';
import { startStandIns } from './startStandIns.js';

/** Starts the log and a list of hosts for each data centre with an entry. */
export const startPlatform = async (
  group: ProcessGroup,
  plan: ClusterPlan,
): Promise<PlatformAddresses> => {
  const dataCentres = [...new Set(plan.entries.map(({ dataCentre }) => dataCentre))];
  const logSettings = [plan.logSettings];
  const [log = ''] = await startStandIns(group, {
    name: 'log',
    kind: 'log',
    settings: logSettings,
  });
  const listSettings = dataCentres.map(() => ({}));
  const lists = await startStandIns(group, { name: 'list', kind: 'list', settings: listSettings });
  return {
    log,
    listByDataCentre: new Map(
      dataCentres.map((dataCentre, place) => [dataCentre, lists[place] ?? '']),
    ),
  };
};
