/** Things to dispose of together, the last one first. */
export interface DisposalStack extends AsyncDisposable {
  /** Adds a resource and returns it. */
  readonly use: <Resource extends AsyncDisposable>(resource: Resource) => Resource;
  /** Adds a clean-up step. */
  readonly defer: (dispose: () => void | Promise<void>) => void;
}
