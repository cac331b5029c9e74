import { getHeapStatistics } from 'node:v8';
import type { CallerLimits } from './callerLimits.js';
import { createMemoryBudget } from './createMemoryBudget.js';
import { getMemoryLimitBytes } from './getMemoryLimitBytes.js';
import type { MemoryBudget } from './memoryBudget.js';

/** Creates the budget of this process for callers' connections. */
export const createCallerMemory = (
  { hostMemoryBytes }: CallerLimits,
  getMaxBodyBytes: () => number,
): MemoryBudget => {
  const heapLimitBytes = getHeapStatistics().heap_size_limit;
  return createMemoryBudget({
    getLimitBytes: () =>
      getMemoryLimitBytes({ hostMemoryBytes, heapLimitBytes, maxBodyBytes: getMaxBodyBytes() }),
    getNowMs: () => performance.now(),
  });
};
