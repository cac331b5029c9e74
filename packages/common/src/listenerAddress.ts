/** Where to listen; port 0 takes a free one. */
export interface ListenerAddress {
  readonly address: string;
  readonly port: number;
}
