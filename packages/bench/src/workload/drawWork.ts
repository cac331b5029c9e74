import type { PlannedCall } from '../load/plannedCall.js';
import type { Deployment } from './deployment.js';
import type { KindOfWork } from './kindOfWork.js';
import { newIdempotencyKey } from './newIdempotencyKey.js';
import type { Random } from './random.js';

/** Draws the work of one call of a kind. */
export const drawWork = (
  deployment: Deployment,
  { name, work }: KindOfWork,
  random: Random,
): PlannedCall['work'] => {
  if (work.type === 'service') {
    const subject = Math.floor(random.next() * 1_000_000);
    const isPost = work.method === 'POST';
    return {
      type: 'service',
      pool: deployment.servicePool,
      method: work.method,
      path: isPost ? work.path : `${work.path}/${subject}`,
      body: isPost ? JSON.stringify({ subject }) : '',
      idempotencyKey: work.isNonIdempotent ? newIdempotencyKey(random, Date.now()) : undefined,
    };
  }
  const prefix = Math.floor(random.next() * work.prefixes);
  return {
    type: 'engine',
    model: deployment.model,
    prefix: `${name} template ${prefix}`,
    prefixTokens: work.prefixTokens,
    promptTokens: random.nextLogUniform(...work.promptTokens),
    answerTokens: random.nextLogUniform(...work.answerTokens),
    maximumTokens: work.maximumTokens,
    isStreaming: work.isStreaming,
  };
};
