/** The log's stream that holds a partition of the idempotency keys. */
export const getKeyStream = (partition: number): string => `keys-${String(partition)}`;
