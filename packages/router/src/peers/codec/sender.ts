/** What an entry states of itself in each frame; the same for all frames of an incarnation. */
export interface Sender {
  readonly host: string;
  readonly dataCentre: string;
  /** IP address of the entry, which the datagram of a relayed frame does not show. */
  readonly ip: string;
  readonly incarnation: number;
}
