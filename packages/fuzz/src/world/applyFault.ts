import { assertNever } from '@parsleyhall/common';
import type { Tier } from '@parsleyhall/common';
import type { Fault } from '../schedule/fault.js';
import { getHostOf } from './getHostOf.js';
import type { WorldControls } from './worldControls.js';
import { WORLD_SETTINGS } from './worldSettings.js';

const BURST_REQUESTS = 20;
const PRESETS = ['ordinary', 'peak', 'maintenance'] as const;
const BLOCKED_SHARE = 0.3;
const REPLACED_SHARE = 0.3;
const SLOWDOWN = 4;
const LISTED_AGAIN_MS = 600;

const isOdd = (variant: number): boolean => variant % 2 === 1;
const getPreset = (variant: number): string => PRESETS[variant % PRESETS.length] ?? PRESETS[0];

const applyKill = (world: WorldControls, fault: Fault, role: 'entry' | 'side'): void => {
  const process = role === 'entry' ? world.entries[fault.entry] : world.sides[fault.side];
  if (process === undefined) {
    return;
  }
  if (isOdd(fault.variant)) {
    world.entries.forEach((_entry, entry) => {
      world.sides.forEach((_side, side) => {
        if (role === 'entry' ? entry === fault.entry : side === fault.side) {
          world.getLink(entry, side).cut({ forMs: 0, isSilent: true });
        }
      });
    });
  }
  world.killProcess(process, fault.forMs * REPLACED_SHARE);
};

const applyPause = (world: WorldControls, fault: Fault, role: 'entry' | 'side'): void => {
  const process = role === 'entry' ? world.entries[fault.entry] : world.sides[fault.side];
  if (process !== undefined) {
    world.pauseProcess(process, { forMs: fault.forMs, holdsEffects: isOdd(fault.variant) });
  }
};

const applyBurst = (world: WorldControls, fault: Fault): void => {
  for (let sent = 0; sent < BURST_REQUESTS; sent += 1) {
    world.simulation.schedule(sent, () => {
      world.callers.send({
        atMs: 0,
        entry: isOdd(fault.variant) ? fault.entry : sent % WORLD_SETTINGS.entries,
        kind: fault.side % 2 === 0 ? 'engine' : 'service',
        tier: (1 + ((sent * 3 + fault.variant) % 4)) as Tier,
        team: sent % 2,
        chunks: 3,
        deadlineMs: WORLD_SETTINGS.longestDeadlineMs,
      });
    });
  }
};

const applyDrain = (world: WorldControls, fault: Fault): void => {
  const operator = world.operators[fault.variant % world.operators.length];
  const host = getHostOf(world.sides[fault.side]?.name ?? '');
  operator?.change({ type: 'drainHost', host });
  world.simulation.schedule(2 * fault.forMs, () => {
    operator?.change({ type: 'restoreHost', host });
  });
};

const applyListLeaving = (world: WorldControls, fault: Fault): void => {
  world.listHost(fault.side, true);
  world.simulation.schedule(2 * fault.forMs, () => {
    world.listHost(fault.side, false);
    world.simulation.schedule(LISTED_AGAIN_MS, () => {
      world.stopSide(fault.side);
    });
  });
};

/** Makes a failure happen, or an operator act, now. */
export const applyFault = (world: WorldControls, fault: Fault): void => {
  const { forMs, variant } = fault;
  const untilMs = world.simulation.getNowMs() + forMs;
  const target = world.targets[fault.side];
  const link = world.getLink(fault.entry, fault.side);
  switch (fault.kind) {
    case 'killEntry':
      applyKill(world, fault, 'entry');
      return;
    case 'killSide':
      applyKill(world, fault, 'side');
      return;
    case 'pauseEntry':
      applyPause(world, fault, 'entry');
      return;
    case 'pauseSide':
      applyPause(world, fault, 'side');
      return;
    case 'cutLink':
      link.cut({ forMs: forMs * BLOCKED_SHARE, isSilent: isOdd(variant) });
      return;
    case 'disturbLink':
      link.disturb({ forMs, way: variant });
      return;
    case 'logOutage':
      world.log.setOutageUntil(untilMs);
      return;
    case 'logSlow':
      world.log.setSlowUntil(untilMs);
      return;
    case 'loseAppendAnswers':
      world.log.loseAnswers(1 + (variant % 3));
      return;
    case 'listOutage':
      world.hostList.setOutageUntil(untilMs);
      return;
    case 'slowTarget':
      target?.slowDown(forMs, SLOWDOWN + variant);
      return;
    case 'stallTarget':
      target?.stall(forMs);
      return;
    case 'killTarget':
      target?.die(forMs * REPLACED_SHARE);
      return;
    case 'burst':
      applyBurst(world, fault);
      return;
    case 'publish':
      world.operators[variant % 2]?.change({ type: 'usePreset', preset: getPreset(variant) });
      return;
    case 'raceOperators':
      world.operators.forEach((operator, index) => {
        operator.change({ type: 'usePreset', preset: getPreset(variant + index) });
      });
      return;
    case 'drain':
      applyDrain(world, fault);
      return;
    case 'listLeaving':
      applyListLeaving(world, fault);
      return;
    case 'stopEntry':
      world.stopEntry(fault.entry);
      return;
    case 'stopSide':
      world.stopSide(fault.side);
      return;
    default:
      assertNever(fault.kind);
  }
};
