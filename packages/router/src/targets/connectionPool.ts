import type { TargetConnection } from './targetConnection.js';

/** Connections to targets, of which the idle one that was used last is taken first. */
export interface ConnectionPool extends AsyncDisposable {
  /** Takes an idle connection out of the pool; undefined if there is none to the address. */
  readonly takeIdle: (address: string) => TargetConnection | undefined;
  readonly open: (address: string) => TargetConnection;
  /** Puts a connection back for the next request. */
  readonly release: (address: string, connection: TargetConnection) => void;
  readonly destroy: (connection: TargetConnection) => void;
}
