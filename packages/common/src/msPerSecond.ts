/** Milliseconds in a second. */
export const MS_PER_SECOND = 1_000;
