/** Calls back once everything that has come by now on any connection was read. */
export const afterNextReading = (callback: () => void): void => {
  // Between the two the process reads its connections once.
  setImmediate(() => {
    setImmediate(callback);
  });
};
