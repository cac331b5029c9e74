import type { Route } from '../configuration/route.js';
import type { Send } from './send.js';

/** A request from its arrival to its final answer. All moments are milliseconds of the steady clock. */
export interface TrackedRequest {
  readonly requestId: number;
  /** The caller's own id of this attempt. */
  readonly attemptId?: string;
  readonly route: Route;
  readonly service: string;
  readonly team?: string;
  /** The team's own priority, which goes before its route's; 0 is the highest. */
  readonly teamPriority?: number;
  /** The priority of the route, which decides among teams of one priority; 0 is the highest. */
  readonly tier: number;
  readonly arrivedMs: number;
  /** How long it may have lain unread before, in milliseconds; undefined where that is little. */
  readonly unreadMs?: number;
  /** From here on its answer, or its first event, is late. */
  readonly objectiveAtMs: number;
  /** From here on its caller is gone unless the answer has begun. */
  readonly patienceAtMs: number;
  /** From here on nobody waits for the whole answer. */
  readonly deadlineAtMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly quotaCost: number;
  /** Its team has used up its quota; this is within what is tolerated beyond it. */
  readonly isBeyondQuota: boolean;
  /** The send that is under way; undefined while it waits. */
  readonly send?: Send;
  /** Targets that got it. */
  readonly triedTargets: readonly string[];
  /** Sends that reached a target, or may have. */
  readonly arrivals: number;
  /** All sends, also those that no connection could be made for. */
  readonly sends: number;
  /** A target may have run it. */
  readonly mayHaveRun: boolean;
  /** The caller has the head of the answer. */
  readonly hasBegun: boolean;
}
