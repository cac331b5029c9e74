import type { ServerResponse } from 'node:http';
import type { RequestId } from '@parsleyhall/common';
import type { ArrivedRequest, FinalFailure } from '@parsleyhall/entry';
import type { CallerOutcome } from './callerOutcome.js';
import type { CallerRegistry } from './callerRegistry.js';
import { getFailureProblem } from './problems/getFailureProblem.js';
import { sendProblem } from './problems/sendProblem.js';

interface Caller {
  readonly request: ArrivedRequest;
  readonly response: ServerResponse;
  readonly arrivedAtMs: number;
  firstByteAtMs: number | undefined;
  lastByteAtMs: number | undefined;
  prefillTokens: number;
  isGiven: boolean;
}

type Result = Pick<CallerOutcome, 'result' | 'reason'>;

const isInTime = ({ request, firstByteAtMs }: Caller, nowMs: number): boolean => {
  const isFirstInTime =
    request.firstTokenByMs === undefined || (firstByteAtMs ?? nowMs) <= request.firstTokenByMs;
  return isFirstInTime && nowMs <= request.deadlineMs;
};

const getFailureResult = (failure: FinalFailure): Result => {
  if (failure.type === 'outcomeUnknown') {
    return { result: 'outcomeUnknown', reason: '' };
  }
  if (failure.type === 'keyConflict') {
    return { result: 'invalid', reason: failure.reason };
  }
  const { reason } = failure;
  const isDeadline = reason === 'deadlineExceeded' || reason === 'deadlineUnreachable';
  return { result: isDeadline ? 'deadlineExceeded' : 'notRun', reason };
};

/** Creates an empty registry; a caller who hangs up or reads too slowly is told by `onHungUp`. */
export const createCallerRegistry = ({
  getNowMs,
  slowReaderBufferBytes,
  onHungUp,
  onOutcome,
  onTokenGap,
}: {
  readonly getNowMs: () => number;
  readonly slowReaderBufferBytes: number;
  readonly onHungUp: (requestId: RequestId) => void;
  readonly onOutcome: (outcome: CallerOutcome) => void;
  readonly onTokenGap: (request: ArrivedRequest, gapMs: number) => void;
}): CallerRegistry => {
  const callers = new Map<RequestId, Caller>();

  const finish = (caller: Caller, result: Result): void => {
    const { request, arrivedAtMs, firstByteAtMs } = caller;
    callers.delete(request.requestId);
    onOutcome({
      requestId: request.requestId,
      team: request.team,
      tier: request.tier,
      ...result,
      totalMs: getNowMs() - arrivedAtMs,
      firstTokenMs: firstByteAtMs === undefined ? undefined : firstByteAtMs - arrivedAtMs,
      isStreaming: request.call.isStreaming,
      prefillTokens: caller.prefillTokens,
    });
  };

  const noteBytes = (caller: Caller): void => {
    const nowMs = getNowMs();
    if (caller.lastByteAtMs !== undefined && caller.request.call.isStreaming) {
      onTokenGap(caller.request, nowMs - caller.lastByteAtMs);
    }
    caller.firstByteAtMs ??= nowMs;
    caller.lastByteAtMs = nowMs;
  };

  const watchForHangUp = (caller: Caller): void => {
    const { requestId } = caller.request;
    caller.response.once('close', () => {
      if (callers.get(requestId) === caller) {
        finish(caller, { result: 'hungUp', reason: '' });
        onHungUp(requestId);
      }
    });
  };

  return {
    open: (request, arrivedAtMs, response) => {
      const caller: Caller = {
        request,
        response,
        arrivedAtMs,
        firstByteAtMs: undefined,
        lastByteAtMs: undefined,
        prefillTokens: 0,
        isGiven: false,
      };
      callers.set(request.requestId, caller);
      watchForHangUp(caller);
    },
    sendHead: (requestId, status, headers) => {
      const caller = callers.get(requestId);
      if (caller === undefined || caller.response.headersSent) {
        return;
      }
      caller.response.writeHead(status, { ...headers, 'x-request-id': requestId });
      caller.response.flushHeaders();
    },
    sendBytes: (requestId, bytes) => {
      const caller = callers.get(requestId);
      if (caller === undefined) {
        return;
      }
      noteBytes(caller);
      caller.response.write(bytes);
      if (caller.response.writableLength > slowReaderBufferBytes) {
        caller.response.destroy();
      }
    },
    end: (requestId) => {
      const caller = callers.get(requestId);
      if (caller === undefined) {
        return;
      }
      finish(caller, { result: isInTime(caller, getNowMs()) ? 'inTime' : 'late', reason: '' });
      caller.response.end();
    },
    fail: (requestId, failure) => {
      const caller = callers.get(requestId);
      if (caller === undefined) {
        return;
      }
      const wasCut = caller.response.headersSent;
      finish(caller, wasCut ? { result: 'cut', reason: failure.type } : getFailureResult(failure));
      if (wasCut) {
        caller.response.destroy();
        return;
      }
      sendProblem(caller.response, getFailureProblem(failure), requestId);
    },
    notePrefill: (requestId, prefillTokens) => {
      const caller = callers.get(requestId);
      if (caller !== undefined) {
        caller.prefillTokens = prefillTokens;
      }
    },
    noteGiven: (requestId) => {
      const caller = callers.get(requestId);
      if (caller !== undefined) {
        caller.isGiven = true;
      }
    },
    countByTier: (isGiven) => {
      const counts: [number, number, number, number] = [0, 0, 0, 0];
      for (const caller of callers.values()) {
        if (caller.isGiven === isGiven) {
          counts[caller.request.tier - 1] = (counts[caller.request.tier - 1] ?? 0) + 1;
        }
      }
      return counts;
    },
    getTier: (requestId) => callers.get(requestId)?.request.tier,
    size: () => callers.size,
  };
};
