import type { MemoryKind } from './memoryKind.js';

/** The bytes that the entry holds for one connection. */
export interface MemoryAccount {
  /** Sets the bytes held of this kind. May close this or other connections if the budget is short. */
  readonly hold: (kind: MemoryKind, bytes: number) => void;
  /**
   * Decides whether a request that takes so many bytes is passed to the scheduler. If so, they replace what its caller made
   * the entry hold; if not, the request has to be refused, or its connection was closed.
   */
  readonly admit: (bytes: number) => boolean;
  /** Whether more of a response that is buffered may be read; if not, `resume` is called once it may. */
  readonly mayGrow: (resume: () => void) => boolean;
  /** Has to be called when a response is no longer buffered before it is written out. */
  readonly endGrowth: () => void;
  /** Sets whether a request of the connection has been passed to the scheduler. */
  readonly setServing: (isServing: boolean) => void;
  /** Whether a request of the connection has been passed to the scheduler. */
  readonly isServing: () => boolean;
  /** Sets what releases the memory at once when the account is closed; replaces the callback that was set before. */
  readonly setRelease: (release: () => void) => void;
  /** Whether the connection has neither ended nor been closed for lack of memory. */
  readonly isOpen: () => boolean;
  /** Releases everything; later calls have no effect. */
  readonly close: () => void;
}
