/** A promise that its owner resolves. */
export interface Deferred {
  readonly resolve: () => void;
  readonly promise: Promise<void>;
}
