import { setTimeout as delay } from 'node:timers/promises';
import { REPORT_STREAM } from '@parsleyhall/clients';
import type { LogClient, LogFailure, ReportRecord } from '@parsleyhall/clients';
import type { ReportAccumulator } from './reportAccumulator.js';
import type { Reporter } from './reporter.js';

const MAX_BACKLOG_RECORDS = 60;

/** Starts to append a report record every period that has outcomes; a failed record is appended with the next one. */
export const startReporter = ({
  client,
  accumulator,
  periodMs,
  getWallMs,
  getMetadata,
  onFailure,
}: {
  readonly client: LogClient;
  readonly accumulator: ReportAccumulator;
  readonly periodMs: number;
  readonly getWallMs: () => number;
  readonly getMetadata: () => Omit<ReportRecord, 'type' | 'fromMs' | 'toMs' | 'rows'>;
  readonly onFailure: (failure: LogFailure) => void;
}): Reporter => {
  const stop = new AbortController();
  const { signal } = stop;
  const isStopped = (): boolean => signal.aborted;
  let fromMs = getWallMs();
  let backlog: readonly ReportRecord[] = [];

  const collect = (): void => {
    const toMs = getWallMs();
    const rows = accumulator.flushRows();
    if (rows.length > 0) {
      const record: ReportRecord = { type: 'report', ...getMetadata(), fromMs, toMs, rows };
      backlog = [...backlog, record].slice(-MAX_BACKLOG_RECORDS);
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
      // A record whose append may have succeeded is not retried, because the report must not count outcomes twice.
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
  const running = run();

  return {
    flush,
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await running;
    },
  };
};
