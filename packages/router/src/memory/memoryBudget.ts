import type { Socket } from 'node:net';
import type { MemoryAccount } from './memoryAccount.js';

/** The budget of bytes for everything that the entry holds for callers' connections. */
export interface MemoryBudget {
  /** Opens the account of a connection. `closeConnection` has to close the connection; it runs at most once. */
  readonly open: (
    socket: Socket,
    closeConnection: (held: { readonly isServing: boolean; readonly bytes: number }) => void,
  ) => MemoryAccount;
  /** The account of a connection; a closed one if it has none. */
  readonly getAccount: (socket: Socket) => MemoryAccount;
  /** Bytes that are held for all connections. */
  readonly countHeldBytes: () => number;
  readonly getLimitBytes: () => number;
  /** Whether the requests that are being served take nearly all of it, so that no response should grow. */
  readonly isShort: () => boolean;
  /** Bytes beyond which a target is paused while its caller does not read. */
  readonly getConnectionShareBytes: () => number;
}
