/** Alternating header names and values, as received. */
export type RawHeaders = readonly string[];
