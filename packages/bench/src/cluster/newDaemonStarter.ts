import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { ClusterPlan } from './clusterPlan.js';
import type { DaemonStarter } from './daemonStarter.js';
import type { PlatformAddresses } from './platformAddresses.js';
import type { ProcessGroup } from './processGroup.js';

type EntryPlan = ClusterPlan['entries'][number];

const LOOPBACK = '127.0.0.1';
const FREE_PORTS = { listen: 0, operatorListen: 0 };

interface StarterParts {
  readonly group: ProcessGroup;
  readonly plan: ClusterPlan;
  readonly platform: PlatformAddresses;
  /** Addresses of the targets by side process. */
  readonly targets: ReadonlyMap<string, string>;
}

const findPlan = <Plan extends { readonly process: string }>(
  plans: readonly Plan[],
  process: string,
): Plan => {
  const found = plans.find((plan) => plan.process === process);
  if (found === undefined) {
    throw new Error(`no plan for ${process}`);
  }
  return found;
};

/** Starts entries and side processes by settings files that hold all addresses. */
export const newDaemonStarter = (parts: StarterParts): DaemonStarter => {
  const { group, plan, platform, targets } = parts;

  const start = async (role: 'entry' | 'side', process: string, settings: unknown) => {
    const file = join(group.folder, `${process}.json`);
    await writeFile(file, JSON.stringify(settings, null, 2));
    const args = [...plan.daemon.arguments, role, '--settings', file];
    return group.start(process, plan.daemon.script, args);
  };

  const getSharedSettings = ({ process, host, dataCentre }: EntryPlan, ports = FREE_PORTS) => ({
    process,
    host,
    dataCentre,
    listen: { address: LOOPBACK, port: ports.listen },
    operatorListen: { address: LOOPBACK, port: ports.operatorListen },
    log: { address: platform.log },
    hostList: { address: platform.listByDataCentre.get(dataCentre) },
  });

  return {
    startEntry: (process) => {
      const entry = findPlan(plan.entries, process);
      return start('entry', process, { ...getSharedSettings(entry), ...plan.entrySettings });
    },
    startSide: (process, ports) => {
      const { host, dataCentre, kind, pool, models } = findPlan(plan.targets, process);
      return start('side', process, {
        ...getSharedSettings({ process, host, dataCentre }, ports),
        ...plan.sideSettings,
        target: { address: targets.get(process), kind, pool, models },
      });
    },
  };
};
