import type { Client } from 'undici';

/** One connection to a target, for one request at a time. */
export interface TargetConnection {
  readonly client: Client;
  /** The connection ended with a reset and not with an orderly end. */
  readonly wasReset: () => boolean;
}
