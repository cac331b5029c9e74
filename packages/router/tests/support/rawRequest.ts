import type { Socket } from 'node:net';

/** A request as a target received it. */
export interface RawRequest {
  readonly head: string;
  readonly socket: Socket;
  /** The header's value; undefined if the header was not sent. */
  readonly getHeader: (name: string) => string | undefined;
}
