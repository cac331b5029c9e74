/** Counts values by their text. */
export const countBy = (values: readonly string[]): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  for (const value of values) {
    counts[value] = (counts[value] ?? 0) + 1;
  }
  return counts;
};
