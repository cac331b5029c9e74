/** A running stand-in. Disposing it closes its listener and its connections. */
export interface StandIn extends AsyncDisposable {
  /** IP address and port on which it listens. */
  readonly address: string;
}
