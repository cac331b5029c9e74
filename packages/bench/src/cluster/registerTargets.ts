import type { ClusterPlan } from './clusterPlan.js';
import type { PlatformAddresses } from './platformAddresses.js';
import type { ProcessGroup } from './processGroup.js';
import { registerProcess } from './registerProcess.js';
import { startStandIns } from './startStandIns.js';

/** Shows every side process in the list of each data centre, behind a relay where the delay between them lies. */
export const registerTargets = async (
  group: ProcessGroup,
  plan: ClusterPlan,
  platform: PlatformAddresses,
): Promise<void> => {
  const routes = [...platform.listByDataCentre].flatMap(([dataCentre, list]) =>
    plan.targets.map((target) => {
      const { listening } = group.get(target.process);
      const delayMs = target.dataCentre === dataCentre ? 0 : plan.dataCentreDelayMs;
      return { list, target, delayMs, listening };
    }),
  );
  const delayed = routes.filter(({ delayMs }) => delayMs > 0);
  const settings = delayed.map(({ delayMs, listening }) => ({
    target: String(listening.peers),
    delayMs,
  }));
  const relays = await startStandIns(group, { name: 'relays', kind: 'relay', settings });
  for (const route of routes) {
    const { list, target, listening } = route;
    const relay = relays[delayed.indexOf(route)];
    await registerProcess(list, {
      process: target.process,
      host: target.host,
      dataCentre: target.dataCentre,
      role: 'target',
      address: relay ?? String(listening.peers),
      operatorAddress: String(listening.operators),
    });
  }
};
