/** Exit codes of the binary. */
export const EXIT_CODES = { done: 0, failed: 1, badUse: 2 } as const;
