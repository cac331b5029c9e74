/** Returns the name of the log stream that holds a partition of idempotency keys. */
export const getKeyStreamName = (partition: number): string => `keys-${partition}`;
