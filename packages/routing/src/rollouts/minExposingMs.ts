/**
 * The least time between an order and the stage in which old targets get no requests. An entry that read the records
 * shortly before the order may rely on that reading for as much longer.
 */
export const MIN_EXPOSING_MS = 3_000;
