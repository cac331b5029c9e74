/** Names and values in turn, as they came. */
export type RawHeaders = readonly string[];
