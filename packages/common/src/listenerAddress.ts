/** Where to listen; port 0 lets the operating system choose a free port. */
export interface ListenerAddress {
  readonly address: string;
  readonly port: number;
}
