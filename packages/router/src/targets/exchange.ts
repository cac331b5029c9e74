/** A request that was sent to a target and its response. */
export interface Exchange {
  /** Whether no other request was sent on the connection before. */
  readonly isConnectionNew: boolean;
  /** Ends the exchange and closes its connection; the rest of the response is ignored. */
  readonly cancel: () => void;
  /** Resumes reading the response after a pause. */
  readonly resume: () => void;
}
