import { computeFingerprint } from '@parsleyhall/common';
import { Buffer } from 'node:buffer';
import type { ArrivedRequest } from '../arrivedRequest.js';
import type { EntryScope } from '../entryScope.js';
import { getKeyPartition } from '../keys/getKeyPartition.js';
import type { KeyClaim } from '../keys/keyClaim.js';
import { newAnswerProgress } from './newAnswerProgress.js';
import type { TrackedRequest } from './trackedRequest.js';

const getRequestFingerprint = ({ call, team }: ArrivedRequest): string => {
  const body = Buffer.from(call.body).toString('latin1');
  const text = [team, call.method, call.path, body].join('\u0000');
  return `${String(computeFingerprint(text))}-${String(body.length)}`;
};

const newClaim = (scope: EntryScope, request: ArrivedRequest): KeyClaim | undefined =>
  request.idempotencyKey === undefined
    ? undefined
    : {
        key: request.idempotencyKey,
        partition: getKeyPartition(request.idempotencyKey, scope.settings.keyPartitions),
        attempt: '',
        attempts: 0,
        requestFingerprint: getRequestFingerprint(request),
        offset: undefined,
      };

/** A request that has just arrived. */
export const newTrackedRequest = (
  scope: EntryScope,
  request: ArrivedRequest,
  sequence: number,
): TrackedRequest => ({
  request,
  arrivedAtMs: scope.nowMs,
  sequence,
  phase: { type: 'claiming' },
  dueAtMs: request.deadlineMs,
  isCallerGone: false,
  claim: newClaim(scope, request),
  answer: newAnswerProgress(request.idempotencyKey !== undefined),
});
