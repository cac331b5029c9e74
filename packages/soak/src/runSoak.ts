import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { startCallers } from './callers/startCallers.js';
import type { History } from './history/history.js';
import { happen } from './plan/happen.js';
import { newPlan } from './plan/newPlan.js';
import { findFreePort } from './system/findFreePort.js';
import { getNowMs } from './system/getNowMs.js';
import { newRoutingDocument } from './system/newRoutingDocument.js';
import type { SoakEntry } from './system/soakEntry.js';
import type { SoakTarget } from './system/soakTarget.js';
import { startSoakEntry } from './system/startSoakEntry.js';
import { startSoakTarget } from './system/startSoakTarget.js';

const CALM_MS = 3_000;
const SETTLING_MS = 1_500;
const PER_SECOND_AN_ENTRY = 40;

interface Size {
  readonly entries: number;
  readonly targets: number;
  /** How long things go wrong, in milliseconds. */
  readonly faultsMs: number;
}

const disposeAll = async (things: readonly AsyncDisposable[]): Promise<void> => {
  await Promise.all(things.map((thing) => thing[Symbol.asyncDispose]()));
};

/** Runs entries as processes of their own, lets the seed's faults happen, and tells what callers and targets saw. */
export const runSoak = async (
  seed: number,
  { entries: entryCount, targets: targetCount, faultsMs }: Size,
  directory: string,
): Promise<History> => {
  mkdirSync(directory, { recursive: true });
  const history: History = { requests: [], runs: [], disturbances: [], calmFromMs: Infinity };
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);

  const targets: readonly SoakTarget[] = await Promise.all(
    Array.from({ length: targetCount }, (_, index) =>
      startSoakTarget({
        name: `target-${index}`,
        note: (run) => history.runs.push(run),
        random,
      }),
    ),
  );
  const routing = join(directory, 'routing.json');
  writeFileSync(routing, JSON.stringify(newRoutingDocument(targets)));
  const ips = Array.from({ length: entryCount }, (_, index) => `127.0.0.${index + 2}`);
  const peers = { ips, port: await findFreePort('127.0.0.1') };
  const entries: readonly SoakEntry[] = await Promise.all(
    ips.map((_, index) =>
      startSoakEntry({ index, directory, routing, peers, disturbances: history.disturbances }),
    ),
  );
  const perSecond = PER_SECOND_AN_ENTRY * entryCount;
  const callers = startCallers({ entries, perSecond, history, random });

  const plan = newPlan({ seed, entries: entryCount, targets: targetCount, faultsMs });
  writeFileSync(join(directory, 'plan.json'), JSON.stringify(plan, undefined, 2));
  await Promise.all(
    plan.map(async (fault) => {
      await sleep(fault.atMs);
      await happen(fault, { entries, targets, callers });
    }),
  );
  await sleep(SETTLING_MS);
  history.calmFromMs = getNowMs();
  await sleep(CALM_MS);
  await callers.end();
  await disposeAll(entries);
  await disposeAll(targets);
  writeFileSync(join(directory, 'history.json'), JSON.stringify(history));
  return history;
};
