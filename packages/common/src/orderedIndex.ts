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

/** An immutable set of ids ordered by a numeric rank; a change returns a new set and takes logarithmic time. */
export class OrderedIndex<Id extends string> {
  private constructor(private readonly tree: Tree) {}

  /** Returns an empty index. */
  static empty<Id extends string>(): OrderedIndex<Id> {
    return new OrderedIndex<Id>(new sortedTree.default<Key, undefined>(undefined, compareKeys));
  }

  /** The number of members. */
  get size(): number {
    return this.tree.size;
  }

  /** Returns the index with the member added at the rank. */
  with(rank: number, id: Id): OrderedIndex<Id> {
    return new OrderedIndex<Id>(this.tree.with([rank, id], undefined));
  }

  /** Returns the index without the member; the rank must be the one with which it was added. */
  without(rank: number, id: Id): OrderedIndex<Id> {
    return new OrderedIndex<Id>(this.tree.without([rank, id]));
  }

  /** Returns the member with the lowest rank. */
  first(): { readonly rank: number; readonly id: Id } | undefined {
    const key = this.tree.minKey();
    return key === undefined ? undefined : { rank: key[0], id: key[1] as Id };
  }

  /** Returns the member with the highest rank. */
  last(): { readonly rank: number; readonly id: Id } | undefined {
    const key = this.tree.maxKey();
    return key === undefined ? undefined : { rank: key[0], id: key[1] as Id };
  }

  /** Iterates over the members by ascending rank. */
  *values(): IterableIterator<{ readonly rank: number; readonly id: Id }> {
    for (const [rank, id] of this.tree.keys()) {
      yield { rank, id: id as Id };
    }
  }
}
