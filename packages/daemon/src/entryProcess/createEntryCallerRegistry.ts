import { createCallerRegistry } from '../callers/createCallerRegistry.js';
import { getMonotonicMs } from '../eventLoop/getMonotonicMs.js';
import type { Metrics } from '@parsleyhall/metrics';
import type { ReportAccumulator } from '../report/reportAccumulator.js';
import type { EntrySettingsFile } from '../settings/entrySettingsFile.js';
import type { EntryEventBody } from './entryEventBody.js';
import { recordOutcome } from './recordOutcome.js';

/**
 * Creates the registry of an entry's callers. A disconnect becomes an event of the reducer; an outcome is counted in the
 * metrics and in the burn report.
 */
export const createEntryCallerRegistry = ({
  file,
  metrics,
  accumulator,
  dispatch,
}: {
  readonly file: EntrySettingsFile;
  readonly metrics: Metrics;
  readonly accumulator: ReportAccumulator;
  readonly dispatch: (body: EntryEventBody) => void;
}): ReturnType<typeof createCallerRegistry> =>
  createCallerRegistry({
    getNowMs: getMonotonicMs,
    slowReaderBufferBytes: file.slowReaderBufferBytes,
    onDisconnected: (requestId) => {
      dispatch({ type: 'callerHungUp', requestId });
    },
    onOutcome: (outcome) => {
      recordOutcome(metrics, outcome);
      accumulator.add(outcome);
    },
    onTokenGap: ({ tier }, gapMs) => {
      metrics.recordMs('between_tokens_milliseconds', { tier: String(tier) }, gapMs);
    },
  });
