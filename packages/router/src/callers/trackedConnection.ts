import type { IncomingMessage, ServerResponse } from 'node:http';
import type { MemoryAccount } from '../memory/memoryAccount.js';
import type { WaitingBody } from './waitingBody.js';

interface OpenRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly handle: () => void;
  /** When the request arrived. */
  readonly sinceMs: number;
  /** Memory of the request without its body. */
  readonly headBytes: number;
  /** What has arrived of its body; undefined if it was handled at once. */
  readonly waitingBody?: WaitingBody;
}

/** A caller's connection. */
export interface TrackedConnection {
  /** The requests without a complete response; the first one is being handled. */
  readonly openRequests: OpenRequest[];
  readonly account: MemoryAccount;
  hasBeenUsed: boolean;
  /** Whether nothing more is read from the connection. */
  isClosing: boolean;
  /** Whether the caller has ended its side behind bytes that are not parsed yet. */
  hasCallerLeft: boolean;
  idleSinceMs: number;
  /** Bytes beyond this count belong to the next request. */
  parsedBytesWhenIdle: number;
  /** When the first bytes of the next request were noticed; undefined if there are none. */
  headSinceMs?: number;
  /** Progress of writing when it was last noticed; undefined if everything is written out. */
  unread?: {
    readonly writtenBytes: number;
    readonly queuedBytes: number;
    readonly sinceMs: number;
  };
  /** Number of requests that arrived after the last one that the connection serves. */
  lateRequests: number;
}
