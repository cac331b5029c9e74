/** Number of tokens in each response of the test load. */
export const LOAD_TOKENS = 40;
