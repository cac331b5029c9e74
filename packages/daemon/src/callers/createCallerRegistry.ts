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
  isSentToSide: boolean;
}

type Result = Pick<CallerOutcome, 'result' | 'reason'>;

const isInTime = ({ request, firstByteAtMs }: Caller, nowMs: number): boolean => {
  const isFirstTokenInTime =
    request.firstTokenByMs === undefined || (firstByteAtMs ?? nowMs) <= request.firstTokenByMs;
  return isFirstTokenInTime && nowMs <= request.deadlineMs;
};

const getFailureResult = (failure: FinalFailure): Result => {
  if (failure.type === 'outcomeUnknown') {
    return { result: 'outcomeUnknown', reason: '' };
  }
  if (failure.type === 'keyConflict') {
    return { result: 'invalid', reason: failure.reason };
  }
  const { reason } = failure;
  const isDeadlineFailure = reason === 'deadlineExceeded' || reason === 'deadlineUnreachable';
  return { result: isDeadlineFailure ? 'deadlineExceeded' : 'notRun', reason };
};

/**
 * Creates an empty registry. `onDisconnected` is called when a caller closes its connection before its response is
 * complete, or when its connection is closed because it reads too slowly.
 */
export const createCallerRegistry = ({
  getNowMs,
  slowReaderBufferBytes,
  onDisconnected,
  onOutcome,
  onTokenGap,
}: {
  readonly getNowMs: () => number;
  readonly slowReaderBufferBytes: number;
  readonly onDisconnected: (requestId: RequestId) => void;
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

  const recordByteTimes = (caller: Caller): void => {
    const nowMs = getNowMs();
    if (caller.lastByteAtMs !== undefined && caller.request.call.isStreaming) {
      onTokenGap(caller.request, nowMs - caller.lastByteAtMs);
    }
    caller.firstByteAtMs ??= nowMs;
    caller.lastByteAtMs = nowMs;
  };

  const watchForDisconnect = (caller: Caller): void => {
    const { requestId } = caller.request;
    caller.response.once('close', () => {
      if (callers.get(requestId) === caller) {
        finish(caller, { result: 'hungUp', reason: '' });
        onDisconnected(requestId);
      }
    });
  };

  return {
    register: (request, arrivedAtMs, response) => {
      const caller: Caller = {
        request,
        response,
        arrivedAtMs,
        firstByteAtMs: undefined,
        lastByteAtMs: undefined,
        prefillTokens: 0,
        isSentToSide: false,
      };
      callers.set(request.requestId, caller);
      watchForDisconnect(caller);
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
      recordByteTimes(caller);
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
      const hasStartedResponse = caller.response.headersSent;
      finish(
        caller,
        hasStartedResponse ? { result: 'cut', reason: failure.type } : getFailureResult(failure),
      );
      if (hasStartedResponse) {
        caller.response.destroy();
        return;
      }
      sendProblem(caller.response, getFailureProblem(failure), requestId);
    },
    recordPrefillTokens: (requestId, prefillTokens) => {
      const caller = callers.get(requestId);
      if (caller !== undefined) {
        caller.prefillTokens = prefillTokens;
      }
    },
    markSentToSide: (requestId) => {
      const caller = callers.get(requestId);
      if (caller !== undefined) {
        caller.isSentToSide = true;
      }
    },
    countByTier: (isSentToSide) => {
      const counts: [number, number, number, number] = [0, 0, 0, 0];
      for (const caller of callers.values()) {
        if (caller.isSentToSide === isSentToSide) {
          counts[caller.request.tier - 1] = (counts[caller.request.tier - 1] ?? 0) + 1;
        }
      }
      return counts;
    },
    getTier: (requestId) => callers.get(requestId)?.request.tier,
    size: () => callers.size,
  };
};
