import { createCallerRegistry } from '../callers/createCallerRegistry.js';
import { getMonotonicMs } from '../loop/getMonotonicMs.js';
import type { Metrics } from '@parsleyhall/metrics';
import type { ReportAccount } from '../report/reportAccount.js';
import type { EntrySettingsFile } from '../settings/entrySettingsFile.js';
import type { EntryEventBody } from './entryEventBody.js';
import { recordOutcome } from './recordOutcome.js';

/** The callers of an entry: a hang-up becomes an event, an outcome is counted for metrics and report. */
export const newEntryCallers = ({
  file,
  metrics,
  account,
  dispatch,
}: {
  readonly file: EntrySettingsFile;
  readonly metrics: Metrics;
  readonly account: ReportAccount;
  readonly dispatch: (body: EntryEventBody) => void;
}): ReturnType<typeof createCallerRegistry> =>
  createCallerRegistry({
    getNowMs: getMonotonicMs,
    slowReaderBufferBytes: file.slowReaderBufferBytes,
    onHungUp: (requestId) => {
      dispatch({ type: 'callerHungUp', requestId });
    },
    onOutcome: (outcome) => {
      recordOutcome(metrics, outcome);
      account.add(outcome);
    },
    onTokenGap: ({ tier }, gapMs) => {
      metrics.recordMs('between_tokens_milliseconds', { tier: String(tier) }, gapMs);
    },
  });
