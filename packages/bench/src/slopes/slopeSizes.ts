/** Sizes at which the reducers are measured; the last of each is that of the stated target. */
export const SLOPE_SIZES = {
  waiting: [100, 1_000, 10_000],
  peers: [3, 30, 300],
  teams: [5, 500, 3_400],
} as const;
