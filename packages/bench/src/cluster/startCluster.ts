import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Cluster } from './cluster.js';
import type { ClusterPlan } from './clusterPlan.js';
import { newDaemonStarter } from './newDaemonStarter.js';
import { ProcessGroup } from './processGroup.js';
import { registerEntries } from './registerEntries.js';
import { registerTargets } from './registerTargets.js';
import { startCallerRelays } from './startCallerRelays.js';
import { startPlatform } from './startPlatform.js';
import { startTargets } from './startTargets.js';

const getPort = (address: unknown): number => Number(String(address).split(':').at(-1));

const startAll = async (group: ProcessGroup, plan: ClusterPlan): Promise<Cluster> => {
  const platform = await startPlatform(group, plan);
  const targets = await startTargets(group, plan);
  const starter = newDaemonStarter({ group, plan, platform, targets });
  await Promise.all(plan.targets.map(({ process }) => starter.startSide(process)));
  await Promise.all(plan.entries.map(({ process }) => starter.startEntry(process)));
  await registerTargets(group, plan, platform);
  await registerEntries(group, plan, platform);
  const callers = await startCallerRelays(group, plan);

  const replaceSide = async (process: string, downMs: number): Promise<void> => {
    const killed = group.get(process);
    await killed.end('SIGKILL');
    await sleep(downMs);
    await starter.startSide(process, {
      listen: getPort(killed.listening.peers),
      operatorListen: getPort(killed.listening.operators),
    });
  };

  return {
    folder: group.folder,
    log: platform.log,
    lists: [...platform.listByDataCentre.values()],
    entries: plan.entries.map(({ process, host }) => {
      const running = group.get(process);
      const operators = String(running.listening.operators);
      return { process, host, running, callers: callers.get(process) ?? '', operators };
    }),
    getTargets: () =>
      plan.targets.map(({ process, host, kind }) => {
        const { listening, pid } = group.get(process);
        const operators = String(listening.operators);
        return { process, host, kind, standIn: targets.get(process) ?? '', operators, pid };
      }),
    replaceSide,
    getPids: () => group.getPids(),
    [Symbol.asyncDispose]: () => group[Symbol.asyncDispose](),
  };
};

/** Starts all processes of a plan, each told its addresses by settings, and registers them in the lists. */
export const startCluster = async (plan: ClusterPlan): Promise<Cluster> => {
  const group = new ProcessGroup(await mkdtemp(join(tmpdir(), 'parsleyhall-')));
  try {
    return await startAll(group, plan);
  } catch (error) {
    await group.end();
    throw error;
  }
};
