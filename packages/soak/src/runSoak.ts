import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { startCallers } from './callers/startCallers.js';
import type { History } from './history/history.js';
import type { Fault } from './plan/fault.js';
import { injectFault } from './plan/injectFault.js';
import { POISON_PARTS } from './plan/poisonParts.js';
import { createFaultPlan } from './plan/createFaultPlan.js';
import { findFreePort } from './system/findFreePort.js';
import { getNowMs } from './system/getNowMs.js';
import { createRoutingDocument } from './system/createRoutingDocument.js';
import type { PlantedFault } from './system/plantedFault.js';
import type { SoakEntry } from './system/soakEntry.js';
import type { SoakTarget } from './system/soakTarget.js';
import { startSoakEntry } from './system/startSoakEntry.js';
import { startSoakTarget } from './system/startSoakTarget.js';

/** Length of the last phase, in which requests have to be served again. */
const RECOVERY_DURATION_MS = 3_000;
/** Time that the system gets to recover after the last fault. */
const SETTLING_DURATION_MS = 1_500;
const REQUESTS_PER_SECOND_PER_ENTRY = 40;

interface SoakSize {
  readonly entries: number;
  readonly targets: number;
  /** Length of the phase in which faults start, in milliseconds. */
  readonly faultDurationMs: number;
  readonly plantedFault?: PlantedFault;
  /** The faults to inject, in place of those that the seed determines. */
  readonly plan?: readonly Fault[];
}

const disposeAll = async (disposables: readonly AsyncDisposable[]): Promise<void> => {
  await Promise.all(disposables.map((disposable) => disposable[Symbol.asyncDispose]()));
};

/**
 * Starts entries as separate processes, injects the faults that the seed determines, and returns what callers and
 * targets observed. Settings, logs, the fault plan and the history are written to the directory.
 */
export const runSoak = async (
  seed: number,
  {
    entries: entryCount,
    targets: targetCount,
    faultDurationMs,
    plantedFault,
    plan: givenPlan,
  }: SoakSize,
  directory: string,
): Promise<History> => {
  mkdirSync(directory, { recursive: true });
  const history: History = {
    requests: [],
    runs: [],
    disturbances: [],
    crashes: [],
    calmFromMs: Infinity,
  };
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);

  const targets: readonly SoakTarget[] = await Promise.all(
    Array.from({ length: targetCount }, (_, index) =>
      startSoakTarget({
        name: `target-${index}`,
        recordRun: (run) => history.runs.push(run),
        recordCrash: (crash) => history.crashes.push(crash),
        statesLimits: plantedFault !== 'unstatedLimits',
        plantedFault,
        random,
      }),
    ),
  );
  const routingPath = join(directory, 'routing.json');
  writeFileSync(routingPath, JSON.stringify(createRoutingDocument(targets)));
  const ips = Array.from({ length: entryCount }, (_, index) => `127.0.0.${index + 2}`);
  const peers = { ips, port: await findFreePort('127.0.0.1') };
  const entries: readonly SoakEntry[] = await Promise.all(
    ips.map((_, index) =>
      startSoakEntry({
        index,
        directory,
        routingPath,
        peers,
        disturbances: history.disturbances,
        trustedPromptParts: plantedFault === 'trustedParts' ? POISON_PARTS : [],
        stopSignal: plantedFault === 'killedStops' ? 'SIGKILL' : 'SIGTERM',
      }),
    ),
  );
  const requestsPerSecond = REQUESTS_PER_SECOND_PER_ENTRY * entryCount;
  const callers = startCallers({ entries, requestsPerSecond, history, random });

  const plan =
    givenPlan ??
    createFaultPlan({ seed, entries: entryCount, targets: targetCount, faultDurationMs });
  writeFileSync(join(directory, 'plan.json'), JSON.stringify(plan, undefined, 2));
  await Promise.all(
    plan.map(async (fault) => {
      await sleep(fault.atMs);
      await injectFault(fault, { entries, targets, callers });
    }),
  );
  await sleep(SETTLING_DURATION_MS);
  history.calmFromMs = getNowMs();
  await sleep(RECOVERY_DURATION_MS);
  await callers.stop();
  await disposeAll(entries);
  await disposeAll(targets);
  writeFileSync(join(directory, 'history.json'), JSON.stringify(history));
  return history;
};
