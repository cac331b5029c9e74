import { default as sortedTree } from 'sorted-btree';

type Key = readonly [rank: number, id: string];

const compareKeys = (left: Key, right: Key): number => {
  if (left[0] !== right[0]) {
    return left[0] - right[0];
  }
  if (left[1] === right[1]) {
    return 0;
  }
  return left[1] < right[1] ? -1 : 1;
};

type Tree = InstanceType<typeof sortedTree.default<Key, undefined>>;

/** A persistent set of ids ordered by a numeric rank; each change costs the logarithm of its size. */
export class OrderedIndex<Id extends string> {
  private constructor(private readonly tree: Tree) {}

  /** An index without members. */
  static empty<Id extends string>(): OrderedIndex<Id> {
    return new OrderedIndex<Id>(new sortedTree.default<Key, undefined>(undefined, compareKeys));
  }

  /** Number of members. */
  get size(): number {
    return this.tree.size;
  }

  /** The index with the member added at its rank. */
  with(rank: number, id: Id): OrderedIndex<Id> {
    return new OrderedIndex<Id>(this.tree.with([rank, id], undefined));
  }

  /** The index without the member; the rank must be the one it was added at. */
  without(rank: number, id: Id): OrderedIndex<Id> {
    return new OrderedIndex<Id>(this.tree.without([rank, id]));
  }

  /** The member of the lowest rank. */
  first(): { readonly rank: number; readonly id: Id } | undefined {
    const key = this.tree.minKey();
    return key === undefined ? undefined : { rank: key[0], id: key[1] as Id };
  }

  /** The member of the highest rank. */
  last(): { readonly rank: number; readonly id: Id } | undefined {
    const key = this.tree.maxKey();
    return key === undefined ? undefined : { rank: key[0], id: key[1] as Id };
  }

  /** The members in order of rank; stop early by leaving the loop. */
  *values(): IterableIterator<{ readonly rank: number; readonly id: Id }> {
    for (const [rank, id] of this.tree.keys()) {
      yield { rank, id: id as Id };
    }
  }
}
