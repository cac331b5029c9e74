/** A running stand-in; disposing it closes its listener and connections. */
export interface StandIn extends AsyncDisposable {
  /** IP address and port that it listens on. */
  readonly address: string;
}
