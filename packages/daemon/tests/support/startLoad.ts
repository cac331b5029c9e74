import type { CallerResult } from './callerResult.js';
import { LOAD_TOKENS } from './loadTokens.js';

interface Load {
  /** Resolves when the first answer has begun. */
  readonly begun: Promise<unknown>;
  readonly results: Promise<readonly CallerResult[]>;
}

const startOne = (
  url: string,
  place: number,
): { readonly head: Promise<Response>; readonly result: Promise<CallerResult> } => {
  const prompt = `call ${place}`;
  const body = { model: 'small', prompt, max_tokens: LOAD_TOKENS, stream: true };
  const head = fetch(`${url}/v1/completions`, {
    method: 'POST',
    headers: { 'x-team': 'branches', 'x-tier': String((place % 4) + 1) },
    body: JSON.stringify(body),
  });
  const read = async (): Promise<CallerResult> => {
    try {
      const answer = await head;
      const requestId = answer.headers.get('x-request-id') ?? '';
      const { status } = answer;
      return { type: 'answer', status, requestId, prompt, text: await answer.text() };
    } catch {
      return { type: 'cut', prompt };
    }
  };
  return { head, result: read() };
};

/** Sends streamed calls of all tiers together. */
export const startLoad = (url: string, calls: number): Load => {
  const all = Array.from({ length: calls }, (_, place) => startOne(url, place));
  return {
    begun: Promise.any(all.map(({ head }) => head)),
    results: Promise.all(all.map(({ result }) => result)),
  };
};
