/** Exit codes of the binary. */
export const EXIT_CODES = { success: 0, failure: 1, usageError: 2 } as const;
