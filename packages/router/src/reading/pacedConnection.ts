import type { Socket } from 'node:net';
import type { ReadBlock } from './readBlock.js';

/** A connection whose bytes are parsed in turns. */
export interface PacedConnection {
  readonly socket: Socket;
  /** Hands bytes to the parser, or the end of the caller's side. */
  readonly deliver: (bytes: Buffer | null) => boolean;
  /** Reads on. */
  readonly read: () => void;
  /** Reports that the caller has ended its side while the connection is paused, so that its end cannot be delivered. */
  readonly reportEarlyEnd: () => void;
  /** What was read and is not parsed, in order. */
  readonly blocks: ReadBlock[];
  /** Whether the caller has ended its side behind these blocks. */
  hasEnded: boolean;
  /** Whether the stream has asked for more while blocks were left or it was paused. */
  isReadDue: boolean;
  /** The block that is being parsed at this moment. */
  current?: ReadBlock | undefined;
  /** Time that parsing has taken, in milliseconds; when the connection begins to wait it counts no less than others have. */
  workMs: number;
}
