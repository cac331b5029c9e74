/** Time between two evaluations of how the frames of all entries arrive. */
export const JUDGE_INTERVAL_MS = 100;
