import type { CallerResult } from './callerResult.js';
import { LOAD_TOKENS } from './loadTokens.js';

interface Load {
  /** Resolves when the first response has started. */
  readonly firstResponse: Promise<unknown>;
  readonly results: Promise<readonly CallerResult[]>;
}

const startCall = (
  url: string,
  index: number,
): { readonly response: Promise<Response>; readonly result: Promise<CallerResult> } => {
  const prompt = `call ${index}`;
  const body = { model: 'small', prompt, max_tokens: LOAD_TOKENS, stream: true };
  const response = fetch(`${url}/v1/completions`, {
    method: 'POST',
    headers: { 'x-team': 'branches', 'x-tier': String((index % 4) + 1) },
    body: JSON.stringify(body),
  });
  const read = async (): Promise<CallerResult> => {
    try {
      const received = await response;
      const requestId = received.headers.get('x-request-id') ?? '';
      const { status } = received;
      return { type: 'answer', status, requestId, prompt, text: await received.text() };
    } catch {
      return { type: 'cut', prompt };
    }
  };
  return { response, result: read() };
};

/** Sends streaming calls of all tiers concurrently. */
export const startLoad = (url: string, calls: number): Load => {
  const startedCalls = Array.from({ length: calls }, (_, index) => startCall(url, index));
  return {
    firstResponse: Promise.any(startedCalls.map(({ response }) => response)),
    results: Promise.all(startedCalls.map(({ result }) => result)),
  };
};
