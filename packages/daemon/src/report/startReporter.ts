import { setTimeout as delay } from 'node:timers/promises';
import { REPORT_STREAM } from '@parsleyhall/clients';
import type { LogClient, LogFailure, ReportRecord } from '@parsleyhall/clients';
import type { ReportAccount } from './reportAccount.js';
import type { Reporter } from './reporter.js';

const LARGEST_BACKLOG_RECORDS = 60;

/** Begins to append a report record each period while there is something to tell; a record that fails goes with the next. */
export const startReporter = ({
  client,
  account,
  periodMs,
  getWallMs,
  describe,
  onFailure,
}: {
  readonly client: LogClient;
  readonly account: ReportAccount;
  readonly periodMs: number;
  readonly getWallMs: () => number;
  readonly describe: () => Omit<ReportRecord, 'type' | 'fromMs' | 'toMs' | 'rows'>;
  readonly onFailure: (failure: LogFailure) => void;
}): Reporter => {
  const stop = new AbortController();
  const { signal } = stop;
  const isStopped = (): boolean => signal.aborted;
  let fromMs = getWallMs();
  let backlog: readonly ReportRecord[] = [];

  const collect = (): void => {
    const toMs = getWallMs();
    const rows = account.takeRows();
    if (rows.length > 0) {
      const record: ReportRecord = { type: 'report', ...describe(), fromMs, toMs, rows };
      backlog = [...backlog, record].slice(-LARGEST_BACKLOG_RECORDS);
    }
    fromMs = toMs;
  };

  const flush = async (): Promise<void> => {
    collect();
    if (backlog.length === 0) {
      return;
    }
    const records = backlog;
    backlog = [];
    const appended = await client.append({ stream: REPORT_STREAM, records });
    appended.ifLeft((failure) => {
      onFailure(failure);
      // A record whose append may have taken effect is not repeated: the report must not count twice.
      backlog = failure.type === 'outcomeUnknown' ? backlog : [...records, ...backlog];
    });
  };

  const run = async (): Promise<void> => {
    while (!isStopped()) {
      await delay(periodMs, undefined, { signal }).catch(() => undefined);
      if (!isStopped()) {
        await flush();
      }
    }
  };
  const ran = run();

  return {
    flush,
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await ran;
    },
  };
};
