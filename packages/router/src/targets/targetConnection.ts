import type { Client } from 'undici';

/** One connection to a target, for one request at a time. */
export interface TargetConnection {
  readonly client: Client;
  /** Tells whether the connection ended with a reset and not with an orderly end. */
  readonly checkReset: (take: (wasReset: boolean) => void) => void;
}
