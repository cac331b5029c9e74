/** What was wrong with a response whose send failed as malformed; for logs alone. */
export interface ResponseFault {
  readonly responseFault:
    | 'notAnEvent'
    | 'noNumber'
    | 'noData'
    /** The first event has a number with which the response can't begin. */
    | 'wrongStart'
    | 'numberSkipped'
    /** An event has the number of one before it, or a lower one. */
    | 'numberTaken'
    /** A stream ended without an event. */
    | 'noEvents'
    /** A stream ended before the last event that the caller has. */
    | 'endsTooEarly'
    /** A response without events is to continue a stream. */
    | 'noStream'
    | 'tooLong'
    /** The response names another request. */
    | 'namesAnother'
    /** It names none, where a name is needed. */
    | 'namesNone'
    /** Its status is outside of 100 to 599, or 101 without a request to upgrade. */
    | 'invalidStatus'
    /** The bytes received are not the head of a final response. */
    | 'invalidHead'
    /** It has neither a length nor chunks, and began before its request had been written. */
    | 'unframedEarly';
  /** The id of the event at which the fault was noticed, shortened; undefined if it states none. */
  readonly eventId?: string;
  /** The id of the last event that the caller had received by then; undefined if it had received none. */
  readonly lastEventId?: string;
}
