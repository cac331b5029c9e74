import type { ResponseFault } from '@parsleyhall/routing';

/** Why the rest of a target's stream is not relayed. */
export interface StreamFault {
  readonly responseFault: ResponseFault['responseFault'];
  /** The id of the event at which it was noticed; undefined if it states none. */
  readonly eventId?: string;
  /** Whether an event that was read earlier, and so may have been relayed, may be one that the target did not make. */
  readonly areEarlierInDoubt: boolean;
}
