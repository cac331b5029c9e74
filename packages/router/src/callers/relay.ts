import type { RawHeaders } from '../calls/rawHeaders.js';

/** Hands one request's answer on to its caller, over one send or several that go on from one another. */
export interface Relay {
  readonly requestId: number;
  /** The last event that the caller has; undefined before the first. */
  readonly getLastEventId: () => string | undefined;
  readonly getEvents: () => number;
  readonly hasHead: () => boolean;
  /** Takes the head of a send's answer, unless the caller has one already. */
  readonly takeHead: (status: number, headers: RawHeaders, hasLength: boolean) => void;
  /** Hands whole bytes on; answers whether more may come at once. */
  readonly write: (bytes: Buffer, eventId?: string) => boolean;
  readonly end: () => void;
  /** Hands a whole body on and ends the answer. */
  readonly endWith: (body: Buffer) => void;
}
