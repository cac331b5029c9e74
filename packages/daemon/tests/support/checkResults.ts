import { expect } from 'vitest';
import type { EngineStats } from '@parsleyhall/stand-ins';
import type { CallerResult } from './callerResult.js';
import { getExpectedBody } from './getExpectedBody.js';
import { LOAD_TOKENS } from './loadTokens.js';

interface Summary {
  readonly complete: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly cut: number;
}

const readRuns = async (engines: readonly { readonly address: string }[]) => {
  const runs = new Map<string, number>();
  for (const { address } of engines) {
    const answer = await fetch(`http://${address}/control/stats`);
    const stats = (await answer.json()) as EngineStats;
    for (const [id, count] of Object.entries(stats.runsByRequest)) {
      runs.set(id, (runs.get(id) ?? 0) + count);
    }
  }
  return runs;
};

/**
 * Checks the results of a load against the engines' own counts: no request ran twice, every response is complete to the
 * byte, and no request that was reported as not run did run. Returns the number of results of each kind.
 */
export const checkResults = async (
  results: readonly CallerResult[],
  engines: readonly { readonly address: string }[],
): Promise<Summary> => {
  const runs = await readRuns(engines);
  expect([...runs].filter(([, count]) => count > 1)).toEqual([]);
  const counts = { complete: 0, notRun: 0, unknown: 0, cut: 0 };
  for (const result of results) {
    if (result.type === 'cut') {
      counts.cut += 1;
      continue;
    }
    const { status, requestId, prompt, text } = result;
    if (status === 200) {
      const expected = { requestId, prompt, answerTokens: LOAD_TOKENS, isStreaming: true, text };
      expect(text).toBe(getExpectedBody(expected));
      expect(runs.get(requestId)).toBe(1);
      counts.complete += 1;
      continue;
    }
    if (text.includes('urn:parsleyhall:problem:not-run:')) {
      expect(runs.get(requestId)).toBe(undefined);
      counts.notRun += 1;
      continue;
    }
    expect(text).toContain('urn:parsleyhall:problem:outcome-unknown');
    counts.unknown += 1;
  }
  return counts;
};
