/** Requests in the batch at which an engine's capacity is worked out. */
export const RATED_BATCH = 32;
