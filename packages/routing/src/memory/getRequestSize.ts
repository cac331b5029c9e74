import type { TrackedRequest } from '../requests/trackedRequest.js';

/** An output token takes about as much work as so many prompt tokens. */
const PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10;

/** The size of a request, in prompt tokens, by which its value grows within its kind. */
export const getRequestSize = ({
  promptTokens,
  expectedOutputTokens,
}: Pick<TrackedRequest, 'promptTokens' | 'expectedOutputTokens'>): number =>
  promptTokens + PROMPT_TOKENS_PER_OUTPUT_TOKEN * expectedOutputTokens;
