/**
 * Streams of the log that idempotency keys are split over. Every process must agree on it, or a key could be claimed in two
 * streams and run twice, so it is no setting.
 */
export const KEY_PARTITIONS = 4;
