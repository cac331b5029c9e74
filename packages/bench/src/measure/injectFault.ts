import { setTimeout as sleep } from 'node:timers/promises';
import { assertNever } from '@parsleyhall/common';
import type { EngineStats } from '@parsleyhall/stand-ins';
import { callJson } from '../cluster/callJson.js';
import type { Cluster } from '../cluster/cluster.js';
import { runOperator } from '../cluster/runOperator.js';
import type { FaultEffect } from './faultEffect.js';
import type { FaultName } from './faultName.js';
import { FAULT_TIMES } from './faultTimes.js';

interface FaultPlan {
  readonly cluster: Cluster;
  readonly fault: FaultName;
  readonly durationMs: number;
  readonly engineSpeeds: readonly number[];
}

const NO_EFFECT: FaultEffect = { countWorkAfterDrain: undefined };

const getVictim = ({ cluster, engineSpeeds }: FaultPlan) => {
  const place = engineSpeeds.length - 2;
  const engine = cluster.getTargets().filter(({ kind }) => kind === 'engine')[place];
  if (engine === undefined) {
    throw new Error('no engine to harm');
  }
  return { ...engine, speedFactor: engineSpeeds[place] ?? 1 };
};

const slowDown = async (plan: FaultPlan): Promise<FaultEffect> => {
  const { standIn, speedFactor } = getVictim(plan);
  const body = { speedFactor: speedFactor * FAULT_TIMES.stragglerSpeedShare };
  await callJson(standIn, '/control', { method: 'PUT', body });
  return NO_EFFECT;
};

const stopLog = async ({ cluster, durationMs }: FaultPlan): Promise<FaultEffect> => {
  const setOutage = (outage: boolean): Promise<unknown> =>
    callJson(cluster.log, '/control', { method: 'PUT', body: { outage } });
  await setOutage(true);
  await sleep((FAULT_TIMES.until - FAULT_TIMES.from) * durationMs);
  await setOutage(false);
  return NO_EFFECT;
};

const drain = async (plan: FaultPlan): Promise<FaultEffect> => {
  const { host, standIn } = getVictim(plan);
  await runOperator(plan.cluster, 'host', 'drain', host);
  const leftByMs = Date.now() + FAULT_TIMES.drainAllowanceMs;
  return {
    countWorkAfterDrain: async () => {
      const { runsByLabel } = (await callJson(standIn, '/control/stats')) as EngineStats;
      return Object.values(runsByLabel).filter(({ arrivedAtMs }) => arrivedAtMs > leftByMs).length;
    },
  };
};

/** Brings a fault about at its time in the run. */
export const injectFault = async (plan: FaultPlan): Promise<FaultEffect> => {
  const { cluster, fault, durationMs } = plan;
  await sleep(FAULT_TIMES.from * durationMs);
  switch (fault) {
    case 'none':
    case 'burst':
      return NO_EFFECT;
    case 'straggler':
      return slowDown(plan);
    case 'kill-side':
      await cluster.replaceSide(getVictim(plan).process, FAULT_TIMES.sideDownMs);
      return NO_EFFECT;
    case 'kill-entry':
      await cluster.entries[0]?.running.end('SIGKILL');
      return NO_EFFECT;
    case 'log-outage':
      return stopLog(plan);
    case 'drain':
      return drain(plan);
    default:
      return assertNever(fault);
  }
};
