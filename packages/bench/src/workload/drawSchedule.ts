import { MS_PER_SECOND } from '@parsleyhall/common';
import type { PlannedCall } from '../load/plannedCall.js';
import type { Deployment } from './deployment.js';
import { drawWork } from './drawWork.js';
import { getCallsPerSecond } from './getCallsPerSecond.js';
import type { KindOfWork } from './kindOfWork.js';
import { Random } from './random.js';

interface SchedulePlan {
  readonly deployment: Deployment;
  readonly load: number;
  /** Length of the arrivals, in wall milliseconds. */
  readonly durationMs: number;
  /** Engine milliseconds in a wall millisecond. */
  readonly timeScale: number;
  readonly seed: number;
  /** Multiplies the arrivals in a part of the run given by its start and end, from 0 to 1. */
  readonly burst: { readonly from: number; readonly until: number; readonly factor: number };
}

const COME_BACK_SHARE = 0.3;

const drawKind = (plan: SchedulePlan, kind: KindOfWork, place: number): readonly PlannedCall[] => {
  const { deployment, load, durationMs, timeScale, seed, burst } = plan;
  const random = new Random(seed * 1_000 + place);
  const callsPerMs = (getCallsPerSecond(deployment, kind) * load * timeScale) / MS_PER_SECOND;
  const teams = deployment.teams.map(({ name, share }) => ({ choice: name, weight: share }));
  const isInBurst = (atMs: number): boolean =>
    atMs >= burst.from * durationMs && atMs < burst.until * durationMs;
  const calls: PlannedCall[] = [];
  let atMs = 0;
  for (;;) {
    const rate = callsPerMs * (isInBurst(atMs) ? burst.factor : 1);
    atMs += random.nextExponential(1 / rate);
    if (atMs >= durationMs) {
      return calls;
    }
    const deadlineMs = kind.deadlineMs / timeScale;
    const hangsUp = random.next() < kind.hangUpShare;
    const hangUpAfterMs = random.next() * deadlineMs * 0.5;
    calls.push({
      label: `${kind.name}-${calls.length}`,
      atMs,
      entry: Math.floor(random.next() * deployment.dataCentres.length),
      team: random.nextWeighted(teams),
      tier: kind.tier,
      kind: kind.name,
      deadlineMs,
      hangUpAfterMs: hangsUp ? hangUpAfterMs : undefined,
      comesBack: random.next() < COME_BACK_SHARE,
      work: drawWork(deployment, kind, random),
    });
  }
};

/** Draws all calls of a run in order of time; the same plan gives the same calls, but for the time in idempotency keys. */
export const drawSchedule = (plan: SchedulePlan): readonly PlannedCall[] =>
  plan.deployment.kinds
    .flatMap((kind, place) => drawKind(plan, kind, place))
    .sort((left, right) => left.atMs - right.atMs);
