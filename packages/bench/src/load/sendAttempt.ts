import { MS_PER_SECOND } from '@parsleyhall/common';
import { request, type Dispatcher } from 'undici';
import type { Attempt } from './attempt.js';
import { isRightAnswer } from './isRightAnswer.js';
import { newHttpCall } from './newHttpCall.js';
import type { PlannedCall } from './plannedCall.js';
import { readProblem } from './readProblem.js';

const SILENCE_MS = 8_000;
const TOKEN_MARK = Buffer.from('data: {');

const countTokens = (bytes: Buffer): number => {
  let count = 0;
  let place = bytes.indexOf(TOKEN_MARK);
  while (place !== -1) {
    count += 1;
    place = bytes.indexOf(TOKEN_MARK, place + TOKEN_MARK.length);
  }
  return count;
};

interface AttemptPlan {
  readonly dispatcher: Dispatcher;
  readonly address: string;
  readonly call: PlannedCall;
  /** The caller's mark of this attempt. */
  readonly label: string;
  readonly deadlineMs: number;
}

/** Sends a call once and follows its answer to the end. */
export const sendAttempt = async (plan: AttemptPlan): Promise<Attempt> => {
  const { call, deadlineMs } = plan;
  const { method, path, headers, body, prompt } = newHttpCall(call, plan);
  const hangUpMs = call.hangUpAfterMs ?? Number.POSITIVE_INFINITY;
  const leaving = new AbortController();
  const timer = setTimeout(
    () => {
      leaving.abort();
    },
    Math.min(hangUpMs, deadlineMs + SILENCE_MS),
  );
  const pieces: Buffer[] = [];
  const gapsMs: number[] = [];
  let status = 0;
  let firstTokenAtMs: number | undefined;
  let lastTokenAtMs = 0;

  const noteTokens = (bytes: Buffer): void => {
    const nowMs = performance.now();
    const tokens = countTokens(bytes);
    if (tokens === 0) {
      return;
    }
    if (firstTokenAtMs === undefined) {
      firstTokenAtMs = nowMs;
    } else {
      gapsMs.push(nowMs - lastTokenAtMs);
    }
    for (let extra = 1; extra < tokens; extra += 1) {
      gapsMs.push(0);
    }
    lastTokenAtMs = nowMs;
  };

  const newAttempt = (
    ending: Pick<Attempt, 'result' | 'reason'> & { readonly retryAfterMs?: number | undefined },
  ): Attempt => ({
    retryAfterMs: undefined,
    ...ending,
    status,
    endedAtMs: performance.now(),
    firstTokenAtMs,
    gapsMs,
  });

  try {
    const answer = await request(`http://${plan.address}${path}`, {
      dispatcher: plan.dispatcher,
      method,
      headers,
      body: body === '' ? null : body,
      signal: leaving.signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    status = answer.statusCode;
    for await (const bytes of answer.body as AsyncIterable<Buffer>) {
      pieces.push(bytes);
      if (call.work.type === 'engine' && call.work.isStreaming) {
        noteTokens(bytes);
      }
    }
    const text = Buffer.concat(pieces).toString();
    const retryAfter = Number(answer.headers['retry-after'] ?? Number.NaN);
    const retryAfterMs = Number.isFinite(retryAfter) ? retryAfter * MS_PER_SECOND : undefined;
    if (status >= 400) {
      return newAttempt({ ...readProblem(text), retryAfterMs });
    }
    const isRight = isRightAnswer(call, prompt, text);
    return newAttempt({ result: isRight ? 'answered' : 'wrong', reason: '' });
  } catch (error) {
    if (leaving.signal.aborted) {
      return newAttempt({ result: hangUpMs <= deadlineMs ? 'hungUp' : 'silent', reason: '' });
    }
    const code = (error as NodeJS.ErrnoException).code ?? 'error';
    const isRefused = code === 'ECONNREFUSED';
    return newAttempt({ result: isRefused ? 'notConnected' : 'cut', reason: code });
  } finally {
    clearTimeout(timer);
  }
};
