const SIGNAL_EXIT_CODES = { SIGINT: 130, SIGTERM: 143, SIGHUP: 129 } as const;

/** Makes a signal end this process by way of its exit, which ends the processes it started. */
export const exitOnSignals = (): void => {
  for (const [signal, code] of Object.entries(SIGNAL_EXIT_CODES)) {
    process.once(signal, () => process.exit(code));
  }
};
