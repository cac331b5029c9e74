const REOPEN_HOLD_MS = 1_000;
const REOPEN_SHARE = 0.4;

/** Whether the next lower tier may be admitted again: some time has passed and the backlog is well below the horizon. */
export const mayReopen = ({
  sinceChangeMs,
  waitMs,
  horizonMs,
}: {
  readonly sinceChangeMs: number;
  readonly waitMs: number;
  readonly horizonMs: number;
}): boolean => sinceChangeMs >= REOPEN_HOLD_MS && waitMs <= horizonMs * REOPEN_SHARE;
