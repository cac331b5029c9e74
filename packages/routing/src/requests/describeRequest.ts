import type { Observation } from '../observations/observation.js';
import type { TrackedRequest } from './trackedRequest.js';

type RequestFields = Extract<Observation, { name: 'callerGone' }>['fields'];

/** The log fields that describe a request. */
export const describeRequest = (request: TrackedRequest, nowMs: number): RequestFields => ({
  requestId: request.requestId,
  ...(request.attemptId === undefined ? {} : { attemptId: request.attemptId }),
  route: request.route.name,
  service: request.service,
  tier: request.tier,
  ...(request.teamPriority === undefined ? {} : { teamPriority: request.teamPriority }),
  ageMs: Math.round(nowMs - request.arrivedAtMs),
  leftMs: Math.round(request.deadlineAtMs - nowMs),
  sends: request.sends,
  ...(request.unreadMs === undefined ? {} : { unreadMs: request.unreadMs }),
  ...(request.team === undefined ? {} : { team: request.team }),
  ...(request.isBeyondQuota ? { isBeyondQuota: true } : {}),
  ...(request.send === undefined ? {} : { target: request.send.targetId }),
});
