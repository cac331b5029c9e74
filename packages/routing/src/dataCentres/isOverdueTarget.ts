import type { Target } from '../targets/target.js';

/** How long a target counts as too slow after it has left a response overdue. */
const OVERDUE_HOLD_MS = 1_000;

/** Whether the target has lately not begun a response within its objective. */
export const isOverdueTarget = ({ overdueAtMs }: Target, nowMs: number): boolean =>
  overdueAtMs !== undefined && nowMs - overdueAtMs < OVERDUE_HOLD_MS;
