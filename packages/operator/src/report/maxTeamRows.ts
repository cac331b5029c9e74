/** Maximum number of team rows in a table; the JSON output has all rows. */
export const MAX_TEAM_ROWS = 40;
