import Table from 'cli-table3';

/** Formats rows as a plain-text table. */
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
