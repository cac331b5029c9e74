/** What was wrong with a response whose send failed as malformed; for logs alone. */
export interface ResponseFault {
  readonly responseFault: 'notAnEvent' | 'outOfOrder' | 'tooLong' | 'namesAnother' | 'namesNone';
  /** The id of the event at which the fault was noticed, shortened; undefined if it states none. */
  readonly eventId?: string;
  /** The id of the last event that the caller had received by then; undefined if it had received none. */
  readonly lastEventId?: string;
}
