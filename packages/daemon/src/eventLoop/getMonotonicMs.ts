/** Returns this process's monotonic clock in whole milliseconds; it advances even while the process is paused. */
export const getMonotonicMs = (): number => Math.floor(performance.now());
