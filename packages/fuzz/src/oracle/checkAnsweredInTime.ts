import { WORLD_SETTINGS } from '../world/worldSettings.js';
import { getDueMs } from './getDueMs.js';
import { getPauses } from './getPauses.js';
import type { Observation } from './observation.js';
import type { ObservedRequest } from './observedRequest.js';
import type { Violation } from './violation.js';

const ANSWER_ALLOWANCE_MS = 300;

const getLastByteMs = ({ answers }: ObservedRequest): number =>
  answers.findLast(({ type }) => type === 'answerBytes')?.atMs ?? 0;

/**
 * Every caller that stays, at an entry that lives, has the last word by the deadline plus the allowances; an answer whose
 * bytes keep coming is not cut, so that the allowances count from its last byte.
 */
export const checkAnsweredInTime = ({ history, requests }: Observation): readonly Violation[] =>
  requests.flatMap((request) => {
    const { arrival, finalAtMs, hungUpAtMs, cutAtMs } = request;
    const pauses = getPauses(history, arrival.entry).filter(
      ({ untilMs }) => untilMs > arrival.atMs,
    );
    const allowedMs =
      arrival.deadlineAtMs - arrival.atMs + WORLD_SETTINGS.settleAllowanceMs + ANSWER_ALLOWANCE_MS;
    const dueMs = Math.max(
      getDueMs(arrival.atMs, allowedMs, pauses),
      getLastByteMs(request) + WORLD_SETTINGS.settleAllowanceMs + ANSWER_ALLOWANCE_MS,
    );
    if (hungUpAtMs !== undefined || cutAtMs !== undefined || (finalAtMs ?? Infinity) <= dueMs) {
      return [];
    }
    return [
      {
        promise: 'answeredInTime',
        atMs: dueMs,
        subject: arrival.requestId,
        detail: finalAtMs === undefined ? 'no last word' : `last word at ${finalAtMs} ms`,
      } as const,
    ];
  });
