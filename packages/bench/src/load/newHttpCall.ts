import type { PlannedCall } from './plannedCall.js';
import { newPrompt } from './newPrompt.js';

interface HttpCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly prompt: string;
}

/** The HTTP call of a planned call, with the deadline that is left. */
export const newHttpCall = (
  call: PlannedCall,
  terms: { readonly label: string; readonly deadlineMs: number },
): HttpCall => {
  const { work } = call;
  const headers = {
    'content-type': 'application/json',
    'x-team': call.team,
    'x-tier': String(call.tier),
    'x-kind': call.kind,
    'x-deadline-ms': String(Math.max(1, Math.round(terms.deadlineMs))),
  };
  if (work.type === 'service') {
    const path = `/services/${work.pool}${work.path}`;
    const key = work.idempotencyKey === undefined ? {} : { 'idempotency-key': work.idempotencyKey };
    return { ...work, path, headers: { ...headers, ...key }, prompt: '' };
  }
  const prompt = newPrompt({ ...work, label: call.label });
  const body = JSON.stringify({
    model: work.model,
    stream: work.isStreaming,
    max_tokens: work.maximumTokens,
    messages: [{ role: 'user', content: prompt }],
    metadata: { answer_tokens: String(work.answerTokens), label: terms.label },
  });
  return { method: 'POST', path: '/v1/chat/completions', headers, body, prompt };
};
