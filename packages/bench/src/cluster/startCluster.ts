import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Cluster } from './cluster.js';
import type { ClusterPlan } from './clusterPlan.js';
import { getScript } from './getScript.js';
import { registerProcess } from './registerProcess.js';
import type { RunningProcess } from './runningProcess.js';
import { startProcess } from './startProcess.js';

type EntryPlan = ClusterPlan['entries'][number];
type TargetPlan = ClusterPlan['targets'][number];

const LOOPBACK = '127.0.0.1';
const FREE_PORT = { address: LOOPBACK, port: 0 };

const getPort = (address: unknown): number => Number(String(address).split(':').at(-1));

const sum = <Item>(groups: readonly (readonly Item[])[]): readonly Item[] => groups.flat();

/** Starts all processes of a plan, each told its addresses by settings, and registers them in the lists. */
export const startCluster = async (plan: ClusterPlan): Promise<Cluster> => {
  const folder = await mkdtemp(join(tmpdir(), 'parsleyhall-'));
  const running = new Map<string, RunningProcess>();
  const standInScript = getScript('@parsleyhall/stand-ins', 'main.js');

  const start = async (
    name: string,
    script: string,
    args: readonly string[],
  ): Promise<RunningProcess> => {
    const logFile = join(folder, `${name}.log`);
    const started = await startProcess({ name, script, arguments: args, logFile });
    running.set(name, started);
    return started;
  };

  const startStandIns = async (
    name: string,
    kind: string,
    settings: readonly unknown[],
  ): Promise<readonly string[]> => {
    if (settings.length === 0) {
      return [];
    }
    const args = [kind, '--settings', JSON.stringify(settings)];
    const { listening } = await start(name, standInScript, args);
    return listening.addresses as readonly string[];
  };

  const startDaemon = async (
    role: 'entry' | 'side',
    process: string,
    settings: unknown,
  ): Promise<RunningProcess> => {
    const file = join(folder, `${process}.json`);
    await writeFile(file, JSON.stringify(settings, null, 2));
    const args = [...plan.daemon.arguments, role, '--settings', file];
    return start(process, plan.daemon.script, args);
  };

  const end = async (): Promise<void> => {
    const order = [...running.values()].reverse();
    await Promise.all(order.map((one) => one.end('SIGTERM')));
    await rm(folder, { recursive: true, force: true });
  };

  const startAll = async (): Promise<Cluster> => {
    const dataCentres = [...new Set(plan.entries.map(({ dataCentre }) => dataCentre))];
    const [log = ''] = await startStandIns('log', 'log', [plan.logSettings]);
    const lists = await startStandIns(
      'list',
      'list',
      dataCentres.map(() => ({})),
    );
    const getList = (dataCentre: string): string =>
      lists[Math.max(0, dataCentres.indexOf(dataCentre))] ?? '';

    const startTargets = async (kind: 'engine' | 'service'): Promise<readonly string[]> => {
      const targets = plan.targets.filter((target) => target.kind === kind);
      if (plan.sharesTargetProcesses) {
        return startStandIns(
          `${kind}s`,
          kind,
          targets.map(({ standIn }) => standIn),
        );
      }
      return sum(
        await Promise.all(
          targets.map(({ process, standIn }) =>
            startStandIns(`target-of-${process}`, kind, [standIn]),
          ),
        ),
      );
    };
    const standIns = {
      engine: await startTargets('engine'),
      service: await startTargets('service'),
    };
    const getStandIn = (target: TargetPlan): string => {
      const alike = plan.targets.filter(({ kind }) => kind === target.kind);
      return standIns[target.kind][alike.indexOf(target)] ?? '';
    };

    const getSharedSettings = ({ process, host, dataCentre }: EntryPlan | TargetPlan) => ({
      process,
      host,
      dataCentre,
      listen: FREE_PORT,
      operatorListen: FREE_PORT,
      log: { address: log },
      hostList: { address: getList(dataCentre) },
    });
    const getSideSettings = (target: TargetPlan) => ({
      ...getSharedSettings(target),
      ...plan.sideSettings,
      target: {
        address: getStandIn(target),
        kind: target.kind,
        pool: target.pool,
        models: target.models,
      },
    });
    const sides = await Promise.all(
      plan.targets.map((target) => startDaemon('side', target.process, getSideSettings(target))),
    );
    const entries = await Promise.all(
      plan.entries.map((entry) =>
        startDaemon('entry', entry.process, { ...getSharedSettings(entry), ...plan.entrySettings }),
      ),
    );

    const getPeers = (index: number): string => String(sides[index]?.listening.peers);
    const relays = dataCentres.flatMap((dataCentre) =>
      plan.targets.map((target, index) => ({
        dataCentre,
        process: target.process,
        target: getPeers(index),
        delayMs: target.dataCentre === dataCentre ? 0 : plan.dataCentreDelayMs,
      })),
    );
    const delayed = relays.filter(({ delayMs }) => delayMs > 0);
    const relayAddresses = await startStandIns(
      'relays',
      'relay',
      delayed.map(({ target, delayMs }) => ({ target, delayMs })),
    );
    const callerAddresses = entries.map(({ listening }) => String(listening.callers));
    const callerRelays =
      plan.callerDelayMs === 0
        ? callerAddresses
        : await startStandIns(
            'caller-relays',
            'relay',
            callerAddresses.map((target) => ({ target, delayMs: plan.callerDelayMs })),
          );

    for (const relay of relays) {
      const target = plan.targets.find(({ process }) => process === relay.process);
      const index = delayed.indexOf(relay);
      const side = running.get(relay.process);
      await registerProcess(getList(relay.dataCentre), {
        process: relay.process,
        host: target?.host ?? '',
        dataCentre: target?.dataCentre ?? '',
        role: 'target',
        address: index === -1 ? relay.target : (relayAddresses[index] ?? ''),
        operatorAddress: String(side?.listening.operators),
      });
    }
    for (const [index, entry] of plan.entries.entries()) {
      for (const list of lists) {
        await registerProcess(list, {
          ...entry,
          role: 'entry',
          address: callerAddresses[index] ?? '',
          operatorAddress: String(entries[index]?.listening.operators),
        });
      }
    }

    const replaceSide = async (process: string, downMs: number): Promise<void> => {
      const target = plan.targets.find((candidate) => candidate.process === process);
      const side = running.get(process);
      if (target === undefined || side === undefined) {
        throw new Error(`no side process ${process}`);
      }
      await side.end('SIGKILL');
      await sleep(downMs);
      await startDaemon('side', process, {
        ...getSideSettings(target),
        listen: { address: LOOPBACK, port: getPort(side.listening.peers) },
        operatorListen: { address: LOOPBACK, port: getPort(side.listening.operators) },
      });
    };

    return {
      folder,
      log,
      lists,
      entries: plan.entries.map(({ process, host }, index) => {
        const entry = entries[index];
        if (entry === undefined) {
          throw new Error(`no entry ${process}`);
        }
        return {
          process,
          host,
          running: entry,
          callers: callerRelays[index] ?? '',
          operators: String(entry.listening.operators),
        };
      }),
      getTargets: () =>
        plan.targets.map((target) => {
          const side = running.get(target.process);
          return {
            process: target.process,
            host: target.host,
            kind: target.kind,
            standIn: getStandIn(target),
            operators: String(side?.listening.operators),
            pid: side?.pid ?? 0,
          };
        }),
      replaceSide,
      getPids: () => [...running.values()].map(({ pid }) => pid),
      [Symbol.asyncDispose]: end,
    };
  };

  try {
    return await startAll();
  } catch (error) {
    await Promise.all([...running.values()].map((one) => one.end('SIGTERM')));
    throw error;
  }
};
