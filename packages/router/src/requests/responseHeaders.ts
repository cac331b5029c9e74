import type { ReportedLoad } from '@parsleyhall/routing';

/** The parts of a target's response headers that routing decisions depend on. */
export interface ResponseHeaders {
  /** Id of the attempt that the response belongs to; undefined if the response does not name one. */
  readonly attemptId?: string;
  /** The response bears the target's signature. */
  readonly isSigned: boolean;
  /** The target states that it has not executed the request. */
  readonly isNotRun: boolean;
  /** The target states that it is draining: it takes no new work and is about to leave. */
  readonly isLeaving: boolean;
  /** The requests per second that the target takes from all entries together; undefined if it names no limit. */
  readonly limitPerSecond?: number;
  /** The load that the target reports; undefined if it reports none, or none with its momentary speed. */
  readonly load?: ReportedLoad;
  /** The target reports a load without its momentary speed, which is not used. */
  readonly isLoadIncomplete?: boolean;
  /** The target reports a load that is malformed or contradicts itself. */
  readonly isLoadMalformed?: boolean;
  /** The target rejected the request and asks this entry to send nothing for this long, in milliseconds. */
  readonly refusesForMs?: number;
}
