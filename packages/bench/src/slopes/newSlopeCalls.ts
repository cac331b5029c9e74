import type { PlannedCall } from '../load/plannedCall.js';
import type { Deployment } from '../workload/deployment.js';

interface SlopeCalls {
  readonly deployment: Deployment;
  readonly name: string;
  readonly count: number;
  readonly answerTokens: number;
  readonly isStreaming: boolean;
  /** Time between two calls, in milliseconds. */
  readonly gapMs: number;
}

const PROMPT_TOKENS = 100;
const DEADLINE_MS = 30_000;

/** Like calls at a steady pace. */
export const newSlopeCalls = (calls: SlopeCalls): readonly PlannedCall[] => {
  const { deployment, name, count, answerTokens, isStreaming, gapMs } = calls;
  return Array.from({ length: count }, (_, place) => ({
    label: `${name}-${place}`,
    atMs: place * gapMs,
    entry: place,
    team: deployment.teams[0]?.name ?? '',
    tier: 2,
    kind: name,
    deadlineMs: DEADLINE_MS,
    hangUpAfterMs: undefined,
    comesBack: false,
    work: {
      type: 'engine',
      model: deployment.model,
      prefix: name,
      prefixTokens: 0,
      promptTokens: PROMPT_TOKENS,
      answerTokens,
      maximumTokens: answerTokens,
      isStreaming,
    },
  }));
};
