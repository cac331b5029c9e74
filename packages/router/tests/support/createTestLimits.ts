import type { CallerObserver } from '../../src/callers/callerObserver.js';
import type { CallerLimits } from '../../src/memory/callerLimits.js';
import { createMemoryBudget } from '../../src/memory/createMemoryBudget.js';
import { DEFAULT_CALLER_LIMITS } from '../../src/memory/defaultCallerLimits.js';
import type { MemoryBudget } from '../../src/memory/memoryBudget.js';
import { createPacedReading } from '../../src/reading/createPacedReading.js';
import type { PacedReading } from '../../src/reading/pacedReading.js';

const LIMIT_BYTES = 100_000_000;
const MAX_HEADER_BYTES = 16_384;
const MAX_BODY_BYTES = 1_000_000;

/** Creates limits that no caller of a test exceeds. */
export const createTestLimits = (): {
  readonly getMaxHeaderBytes: () => number;
  readonly getMaxBodyBytes: () => number;
  readonly memory: MemoryBudget;
  readonly reading: PacedReading;
  readonly limits: CallerLimits;
  readonly observer: CallerObserver;
} => ({
  getMaxHeaderBytes: () => MAX_HEADER_BYTES,
  getMaxBodyBytes: () => MAX_BODY_BYTES,
  memory: createMemoryBudget({
    getLimitBytes: () => LIMIT_BYTES,
    getNowMs: () => performance.now(),
  }),
  reading: createPacedReading({
    getNowMs: () => performance.now(),
    getEarliestArrivalAtMs: () => performance.now(),
    holdUnparsedBytes: () => undefined,
    reportWait: () => undefined,
  }),
  limits: DEFAULT_CALLER_LIMITS,
  observer: {
    reportDismissal: () => undefined,
    reportDiscarded: () => undefined,
    reportClosed: () => undefined,
  },
});
