const HORIZON_SHARE = 0.8;

/** Whether a backlog can not be done in time: the predicted wait comes near the horizon; both in milliseconds. */
export const isOverloaded = ({
  waitMs,
  horizonMs,
}: {
  readonly waitMs: number;
  readonly horizonMs: number;
}): boolean => waitMs > horizonMs * HORIZON_SHARE;
