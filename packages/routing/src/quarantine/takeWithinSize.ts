/** The first items whose JSON texts together have at most this many characters. */
export const takeWithinSize = <Item>(items: readonly Item[], maxChars: number): readonly Item[] => {
  let chars = 0;
  return items.filter((item) => {
    chars += JSON.stringify(item).length;
    return chars <= maxChars;
  });
};
