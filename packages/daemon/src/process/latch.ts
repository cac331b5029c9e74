/** Something that happens once and can be awaited. */
export interface Latch {
  readonly open: () => void;
  readonly opened: Promise<void>;
}
