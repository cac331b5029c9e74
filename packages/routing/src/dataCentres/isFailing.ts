import type { Target } from '../targets/target.js';

/** Targets that fail at least this share of their sends are failing. */
const FAILING_SHARE = 0.5;

/** Whether so many sends to a target fail that it counts as unable to meet an objective. */
export const isFailing = ({ failureShare }: Target): boolean => failureShare >= FAILING_SHARE;
