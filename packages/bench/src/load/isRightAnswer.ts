import { getExpectedAnswer, getExpectedServiceAnswer } from '@parsleyhall/stand-ins';
import type { PlannedCall } from './plannedCall.js';

const ID = /"id":"([^"]+)"/;
const CACHED = /"cached_tokens":(\d+)/;

/** True when an answer's body is, byte for byte, the whole answer to this call and no other. */
export const isRightAnswer = (call: PlannedCall, prompt: string, body: string): boolean => {
  const { work } = call;
  if (work.type === 'service') {
    return body === getExpectedServiceAnswer(work);
  }
  const requestId = ID.exec(body)?.[1] ?? '';
  const cachedTokens = Number(CACHED.exec(body)?.[1] ?? 0);
  return (
    body ===
    getExpectedAnswer({
      requestId,
      endpoint: 'chat',
      model: work.model,
      prompt,
      answerTokens: Math.min(work.answerTokens, work.maximumTokens),
      isStreaming: work.isStreaming,
      cachedTokens,
    })
  );
};
