import type { RawHeaders } from '../requests/rawHeaders.js';

/** Relays the response to one request to its caller, from one send or from several that continue one another. */
export interface Relay {
  readonly requestId: number;
  /** Id of the last event that was sent to the caller; undefined before the first. */
  readonly getLastEventId: () => string | undefined;
  readonly countEvents: () => number;
  readonly hasSentHead: () => boolean;
  /** Sets the head of the response, unless one was sent to the caller already. */
  readonly setHead: (status: number, headers: RawHeaders) => void;
  /** Sets how many bytes of the response are buffered until it is complete; returns whether more can be read now. */
  readonly holdBuffered: (bytes: number) => boolean;
  /** Sends bytes; returns whether more can be sent now: the caller may fall behind by its share of the memory. */
  readonly write: (bytes: Buffer, eventId?: string) => boolean;
  readonly end: () => void;
  /** Sends a complete body and ends the response. */
  readonly endWithBody: (body: Buffer) => void;
  /** Closes the caller's connection so that the response does not look complete. */
  readonly breakOff: () => void;
}
