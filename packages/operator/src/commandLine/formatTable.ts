import Table from 'cli-table3';

/** Lays rows out as a table of plain text. */
export const formatTable = ({
  head,
  rows,
}: {
  readonly head: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
}): string => {
  const table = new Table({ head: [...head], style: { head: [], border: [], compact: true } });
  table.push(...rows.map((row) => [...row]));
  return table.toString();
};
