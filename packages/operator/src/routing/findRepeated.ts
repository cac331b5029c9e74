/** Finds items with the key of an earlier item; returns the positions of each and of the first item with that key. */
export const findRepeated = (
  keys: readonly string[],
): readonly { readonly index: number; readonly firstIndex: number }[] => {
  const firstIndexes = new Map<string, number>();
  return keys.flatMap((key, index) => {
    const firstIndex = firstIndexes.get(key);
    if (firstIndex === undefined) {
      firstIndexes.set(key, index);
      return [];
    }
    return [{ index, firstIndex }];
  });
};
