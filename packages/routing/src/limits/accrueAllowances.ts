import { MS_PER_SECOND } from '@parsleyhall/common';
import { getLiveHosts } from '../peers/getLiveHosts.js';
import type { RoutingState } from '../routingState.js';
import type { StepContext } from '../steps/stepContext.js';
import { getShareOfLimit } from './getShareOfLimit.js';
import type { SendAllowance } from './sendAllowance.js';
import type { TargetLimit } from './targetLimit.js';

/** Unused allowance is kept for this long, so that sends need not be evenly spaced. */
const MAX_ACCRUAL_MS = 500;
/** A target that takes nothing still gets this much, in sends per second, to learn when it takes requests again. */
const MIN_LIMIT_PER_SECOND = 0.1;

const accrue = ({ perSecond, sends }: SendAllowance, elapsedMs: number): number => {
  const most = Math.max(1, (perSecond * MAX_ACCRUAL_MS) / MS_PER_SECOND);
  return Math.min(most, sends + (perSecond * elapsedMs) / MS_PER_SECOND);
};

/** Adds to the sends that this entry may make to limited targets, by its share among the entries that are alive. */
export const accrueAllowances = (state: RoutingState, context: StepContext): RoutingState => {
  const { nowMs, settings } = context;
  const elapsedMs = nowMs - (state.lastAccrualMs ?? nowMs);
  if (state.targetLimits.isEmpty()) {
    return { ...state, lastAccrualMs: nowMs };
  }
  const hosts = getLiveHosts(state, context);
  const hostsKey = hosts.join();
  const accrueLimit = (limit: TargetLimit, targetStart: string): TargetLimit => {
    if (limit.perSecond === undefined) {
      return limit;
    }
    const limitPerSecond = Math.max(limit.perSecond, MIN_LIMIT_PER_SECOND);
    const dividedFor = `${limitPerSecond} ${hostsKey}`;
    const { allowance } = limit;
    const perSecond =
      allowance.dividedFor === dividedFor
        ? allowance.perSecond
        : getShareOfLimit({ targetStart, limitPerSecond, hosts, host: settings.host });
    const sends = accrue({ ...allowance, perSecond }, elapsedMs);
    return { ...limit, allowance: { perSecond, sends, dividedFor } };
  };
  return { ...state, lastAccrualMs: nowMs, targetLimits: state.targetLimits.map(accrueLimit) };
};
