/** Rows of teams that a table shows at most; the JSON form has all. */
export const ROWS_SHOWN = 40;
