import { getExpectedAnswer } from '@parsleyhall/stand-ins';

const CACHED_TOKENS = /"cached_tokens":(\d+)/;

/** Returns the body with which the engine must respond to a completion; the cached tokens are read from `text`. */
export const getExpectedBody = ({
  requestId,
  prompt,
  answerTokens,
  isStreaming,
  text,
}: {
  readonly requestId: string;
  readonly prompt: string;
  readonly answerTokens: number;
  readonly isStreaming: boolean;
  /** The body as received; only the number of cached tokens is read from it. */
  readonly text: string;
}): string =>
  getExpectedAnswer({
    requestId,
    endpoint: 'completion',
    model: 'small',
    prompt,
    answerTokens,
    isStreaming,
    cachedTokens: Number(CACHED_TOKENS.exec(text)?.[1] ?? 0),
  });
