import type { SideId } from '@parsleyhall/common';
import { getHostOf } from '../world/getHostOf.js';
import { getSideIds } from '../world/getSideIds.js';
import { WORLD_SETTINGS } from '../world/worldSettings.js';
import { getAcceptedChanges } from './getAcceptedChanges.js';
import { getDueMs } from './getDueMs.js';
import { getFaultWindows } from './getFaultWindows.js';
import { getPauses } from './getPauses.js';
import { getStarts } from './getStarts.js';
import type { Observation } from './observation.js';
import type { TimeWindow } from './timeWindow.js';
import type { Violation } from './violation.js';

const LEAVING_ALLOWANCE_MS = 800;

/** From when a target was leaving until it was no more, and how long it may take its side process to heed it. */
interface Leaving extends TimeWindow {
  readonly allowanceMs: number;
  readonly hindrances: readonly TimeWindow[];
}

const getDrains = ({ schedule, history }: Observation, side: SideId): readonly Leaving[] => {
  const changes = getAcceptedChanges(history);
  const host = getHostOf(side);
  const hindrances = getFaultWindows(schedule, ['logOutage', 'logSlow']);
  return changes.flatMap((change, index) => {
    const before = changes[index - 1];
    if (!change.drainedHosts.includes(host) || before?.drainedHosts.includes(host) === true) {
      return [];
    }
    const restored = changes.slice(index).find(({ drainedHosts }) => !drainedHosts.includes(host));
    return [
      {
        fromMs: change.atMs,
        untilMs: restored?.atMs ?? history.endedAtMs,
        allowanceMs: LEAVING_ALLOWANCE_MS,
        hindrances,
      },
    ];
  });
};

const getListings = ({ schedule, history }: Observation, side: SideId): readonly Leaving[] =>
  history.facts.flatMap((fact, index) => {
    if (fact.type !== 'hostListed' || fact.side !== side || !fact.isLeaving) {
      return [];
    }
    const live = history.facts
      .slice(index)
      .find((later) => later.type === 'hostListed' && later.side === side && !later.isLeaving);
    return [
      {
        fromMs: fact.atMs,
        untilMs: live?.atMs ?? history.endedAtMs,
        allowanceMs: LEAVING_ALLOWANCE_MS + WORLD_SETTINGS.listLagMs + WORLD_SETTINGS.listPeriodMs,
        hindrances: getFaultWindows(schedule, ['listOutage']),
      },
    ];
  });

const getStops = ({ history }: Observation, side: SideId): readonly Leaving[] =>
  history.facts.flatMap((fact, index) => {
    if (fact.type !== 'stopRequested' || fact.process !== side) {
      return [];
    }
    const next = history.facts
      .slice(index)
      .find((later) => later.type === 'processStarted' && later.process === side);
    return [
      {
        fromMs: fact.atMs,
        untilMs: next?.atMs ?? history.endedAtMs,
        allowanceMs: LEAVING_ALLOWANCE_MS,
        hindrances: [],
      },
    ];
  });

const checkSide = (observation: Observation, side: SideId): readonly Violation[] => {
  const { history } = observation;
  const starts = getStarts(history, side).map((atMs) => ({ fromMs: 0, untilMs: atMs }));
  const pauses = getPauses(history, side);
  const leavings = [
    ...getDrains(observation, side),
    ...getListings(observation, side),
    ...getStops(observation, side),
  ];
  return leavings.flatMap(({ fromMs, untilMs, allowanceMs, hindrances }) => {
    const ownHindrances = [...hindrances, ...pauses, ...starts];
    const late = history.facts.find(
      (fact) =>
        fact.type === 'runStarted' &&
        fact.side === side &&
        fact.atMs < untilMs &&
        fact.atMs >
          getDueMs(
            fromMs,
            allowanceMs,
            ownHindrances.filter((hindrance) => hindrance.fromMs <= fact.atMs),
          ),
    );
    return late === undefined
      ? []
      : [
          {
            promise: 'leavingTargetGetsNoNewWork',
            atMs: late.atMs,
            subject: side,
            detail: `started work, though leaving since ${fromMs} ms`,
          } as const,
        ];
  });
};

/** A target whose host is drained, listed as leaving, or whose side process is stopping gets no new work after the allowance. */
export const checkLeavingTargets = (observation: Observation): readonly Violation[] =>
  getSideIds().flatMap((side) => checkSide(observation, side));
