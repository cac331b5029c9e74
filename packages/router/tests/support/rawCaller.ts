import type { Socket } from 'node:net';

/** A caller's connection, with the bytes that it received. */
export interface RawCaller {
  readonly socket: Socket;
  /** Sends one more request. */
  readonly send: (path: string, headers?: string) => void;
  /** Resolves with everything that was received, once the connection is closed. */
  readonly whenClosed: Promise<string>;
  /** Resolves with everything received so far, once it includes the text. */
  readonly waitForText: (text: string) => Promise<string>;
}
