/** Tokens of each answer of the load. */
export const LOAD_TOKENS = 40;
