import type { Socket } from 'node:net';

/** A request as a target got it. */
export interface RawRequest {
  readonly head: string;
  readonly socket: Socket;
  /** The header's value; undefined where it was not sent. */
  readonly getHeader: (name: string) => string | undefined;
}
