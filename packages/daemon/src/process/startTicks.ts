/** Calls `onTick` every period until disposed of. */
export const startTicks = (periodMs: number, onTick: () => void): AsyncDisposable => {
  const timer = setInterval(onTick, periodMs);
  return {
    [Symbol.asyncDispose]: () => {
      clearInterval(timer);
      return Promise.resolve();
    },
  };
};
