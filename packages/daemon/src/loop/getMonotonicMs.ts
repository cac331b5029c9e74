/** This process's monotonic clock in whole milliseconds; it goes on while the process is paused. */
export const getMonotonicMs = (): number => Math.floor(performance.now());
