import type { RequestMatch } from './requestMatch.js';
import type { ReportedLoad } from './targetLoad/reportedLoad.js';

/** The head of a target's response, reduced to what the scheduler needs. */
export interface ResponseHead {
  readonly status: number;
  /** The response carries the target's signature. */
  readonly isSigned: boolean;
  /** The target reports that it did not run the request. */
  readonly isNotRun: boolean;
  /** Which request the response names. */
  readonly requestMatch: RequestMatch;
  /** No other request was sent on the connection before. */
  readonly isConnectionNew: boolean;
  /** The body is not as the target made it. */
  readonly isBodyEncoded: boolean;
  /** The target reports that it is draining: it accepts no new work and will shut down. */
  readonly isLeaving: boolean;
  /** The requests per second that the target takes from all entries together; undefined if it names no limit. */
  readonly limitPerSecond?: number;
  /** The load that the target reports; undefined if it reports none, or none with its momentary speed. */
  readonly load?: ReportedLoad;
  /** The target reports a load without its momentary speed, which is not used. */
  readonly isLoadIncomplete?: boolean;
  /** The target reports a load that is malformed or contradicts itself, and is ignored. */
  readonly isLoadMalformed?: boolean;
  /** The media type of the body, shortened, for logs; undefined if the target states none. */
  readonly mediaType?: string;
  /** Whether the body has a length or chunks, for logs; otherwise it ends with its connection. */
  readonly isFramed?: boolean;
  /** How long the target refuses further requests of this entry, in milliseconds; undefined if it does not. */
  readonly refusesForMs?: number;
}
