/** Returns the time of the soak's monotonic clock. */
export const getNowMs = (): number => performance.now();
