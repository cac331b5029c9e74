/** When to ask again after an unknown outcome, in milliseconds. */
export const RETRY_AFTER_UNKNOWN_MS = 5_000;
