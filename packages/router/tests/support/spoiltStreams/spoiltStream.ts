/** A stream of ten events into which its target sends bytes that are no part of it. */
export interface SpoiltStream {
  readonly route: 'stream' | 'resumableStream';
  /** What the target sends that no run made. */
  readonly foreignBytes: string;
  /** The number of sound events before them. */
  readonly eventsBefore: number;
  /**
   * How the response is sent: in chunks, each event in its own write; in chunks, in one write; in chunks, cut in the middle
   * of the foreign bytes; or without framing, ended by the connection.
   */
  readonly framing: 'chunks' | 'oneWrite' | 'cutInTwo' | 'unframed';
  /** Whether the target resets the connection behind them, before its next event. */
  readonly isResetBehind: boolean;
  /** The response's media type; undefined for none. */
  readonly contentType: string | undefined;
}
