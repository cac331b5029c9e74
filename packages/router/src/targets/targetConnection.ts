import type { Client } from 'undici';

/** A connection to a target, used for one request at a time. */
export interface TargetConnection {
  readonly client: Client;
  /** Records that the bytes received so far were part of a response. */
  readonly recordProgress: () => void;
  /** Whether the target has closed its side in an orderly way. */
  readonly hasTargetEnded: () => boolean;
  /** Whether part of a request waits to be written. */
  readonly hasUnsentBytes: () => boolean;
  /** Whether a reset of the connection has been noticed. */
  readonly hasNoticedReset: () => boolean;
  /** Calls back with whether the connection ended with a reset instead of an orderly close. */
  readonly checkReset: (callback: (wasReset: boolean) => void) => void;
}
