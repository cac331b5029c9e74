import Table from 'cli-table3';

/** A table of plain text. */
export const formatTable = (
  head: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string => {
  const table = new Table({ head: [...head], style: { head: [], border: [], compact: true } });
  table.push(...rows.map((row) => [...row]));
  return table.toString();
};
