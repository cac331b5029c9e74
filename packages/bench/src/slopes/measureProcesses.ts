import { setTimeout as sleep } from 'node:timers/promises';
import { MS_PER_SECOND } from '@parsleyhall/common';
import { publishDocument } from '../cluster/publishDocument.js';
import { startCluster } from '../cluster/startCluster.js';
import { DEMO_DEPLOYMENTS } from '../demo/demoDeployments.js';
import { newDemoPlan } from '../demo/newDemoPlan.js';
import type { PlannedCall } from '../load/plannedCall.js';
import { runSchedule } from '../load/runSchedule.js';
import type { ProcessCost } from '../report/processCost.js';
import { readProcessCosts } from '../report/readProcessCosts.js';
import { newDocument } from '../workload/newDocument.js';
import { newSlopeCalls } from './newSlopeCalls.js';
import type { ProcessRow } from './processRow.js';

const MICROSECONDS_PER_SECOND = 1_000_000;
const IDLE_MS = 5_000;
const WARM_UP_CALLS = 300;
const CALLS = 600;
const STREAMED_CALLS = 120;
const STREAMED_TOKENS = 60;
const ROLES = ['entry', 'side'] as const;

interface Phase {
  readonly elapsedMs: number;
  readonly before: readonly ProcessCost[];
  readonly after: readonly ProcessCost[];
}

const sumCpu = (costs: readonly ProcessCost[], role: ProcessCost['role']): number =>
  costs.filter((cost) => cost.role === role).reduce((sum, cost) => sum + cost.cpuSeconds, 0);

const getCpu = ({ before, after }: Phase, role: ProcessCost['role']): number =>
  sumCpu(after, role) - sumCpu(before, role);

/** Measures whole processes by the processor time that they report: idle, with short requests and with streamed tokens. */
export const measureProcesses = async (): Promise<readonly ProcessRow[]> => {
  const [deployment] = DEMO_DEPLOYMENTS;
  if (deployment === undefined) {
    return [];
  }
  await using cluster = await startCluster(newDemoPlan(DEMO_DEPLOYMENTS));
  await publishDocument(cluster, newDocument(DEMO_DEPLOYMENTS, 1));
  const entries = cluster.entries.map(({ callers }) => callers);

  const runPhase = async (act: () => Promise<unknown>): Promise<Phase> => {
    const before = await readProcessCosts(cluster);
    const startedAtMs = performance.now();
    await act();
    const elapsedMs = performance.now() - startedAtMs;
    return { before, elapsedMs, after: await readProcessCosts(cluster) };
  };
  const send = async (calls: readonly PlannedCall[]): Promise<void> => {
    const outcomes = await runSchedule(entries, calls);
    const failed = outcomes.filter(({ result }) => result !== 'answered');
    if (failed.length > 0) {
      throw new Error(`${failed.length} calls were not answered: ${failed[0]?.reason ?? ''}`);
    }
  };

  const plain = { deployment, answerTokens: 4, isStreaming: false, gapMs: 15 };
  await send(newSlopeCalls({ ...plain, name: 'warm-up', count: WARM_UP_CALLS }));
  const idle = await runPhase(() => sleep(IDLE_MS));
  const requests = await runPhase(() =>
    send(newSlopeCalls({ ...plain, name: 'request', count: CALLS })),
  );
  const streamed = await runPhase(() =>
    send(
      newSlopeCalls({
        deployment,
        name: 'stream',
        count: STREAMED_CALLS,
        answerTokens: STREAMED_TOKENS,
        isStreaming: true,
        gapMs: 80,
      }),
    ),
  );

  return ROLES.map((role) => {
    const processes = requests.after.filter((cost) => cost.role === role);
    const idleShare = (getCpu(idle, role) * MS_PER_SECOND) / idle.elapsedMs;
    const getAdded = (phase: Phase): number =>
      getCpu(phase, role) - (idleShare * phase.elapsedMs) / MS_PER_SECOND;
    const perRequest = getAdded(requests) / CALLS;
    const tokens = STREAMED_CALLS * STREAMED_TOKENS;
    const perToken = (getAdded(streamed) - perRequest * STREAMED_CALLS) / tokens;
    const residentBytes = processes.reduce((sum, cost) => sum + cost.residentBytes, 0);
    return {
      role,
      idleCoreShare: idleShare / processes.length,
      residentBytes: residentBytes / processes.length,
      microsecondsPerRequest: perRequest * MICROSECONDS_PER_SECOND,
      microsecondsPerToken: perToken * MICROSECONDS_PER_SECOND,
    };
  });
};
