/** Stream of the log that holds a partition of idempotency keys. */
export const getKeyStream = (partition: number): string => `keys-${partition}`;
