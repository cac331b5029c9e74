import { getExpectedAnswer } from '@parsleyhall/stand-ins';

const CACHED_TOKENS = /"cached_tokens":(\d+)/;

/** The body that the engine must have answered to a completion, given the request id and what its cache spared. */
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
  /** The body as received; only the count of cached tokens is taken from it. */
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
