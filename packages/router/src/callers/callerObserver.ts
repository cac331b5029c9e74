import type { IncomingMessage } from 'node:http';
import type { CallerDismissal } from './callerDismissal.js';

/** Why a caller's connection was closed without a response. */
type CloseReason = 'memoryShort' | 'responseUnread' | 'tooManyRequestsAhead' | 'tooManyConnections';

/** Is notified of callers that are refused or disconnected because of a limit. */
export interface CallerObserver {
  /** A request was refused before it reached the scheduler; undefined if its head has not arrived. */
  readonly reportDismissal: (
    request: IncomingMessage | undefined,
    reason: CallerDismissal,
    status: number,
  ) => void;
  /** A request arrived on a connection that was already closing. */
  readonly reportDiscarded: (request: IncomingMessage) => void;
  /** A connection was closed that held so many bytes. */
  readonly reportClosed: (reason: CloseReason, heldBytes: number) => void;
}
