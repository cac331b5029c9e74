import type { Client } from 'undici';

/** One connection to a target, for one request at a time. */
export interface TargetConnection {
  readonly client: Client;
  /** Notes that what came so far brought an answer further. */
  readonly noteProgress: () => void;
  /** Tells whether the connection ended with a reset and not with an orderly end. */
  readonly checkReset: (take: (wasReset: boolean) => void) => void;
}
