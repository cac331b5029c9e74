/** Resources that are disposed of together, in reverse order. */
export interface DisposalStack extends AsyncDisposable {
  /** Adds a resource and returns it. */
  readonly use: <Resource extends AsyncDisposable>(resource: Resource) => Resource;
  /** Adds a cleanup function. */
  readonly defer: (dispose: () => void | Promise<void>) => void;
}
