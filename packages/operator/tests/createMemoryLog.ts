import { Left, Right } from 'purify-ts';
import { CONFIGURATION_STREAM } from '@parsleyhall/configuration';
import type { LogClient, LogRecord } from '@parsleyhall/clients';

interface MemoryLog {
  readonly client: LogClient;
  readonly records: readonly LogRecord[];
  /** Sets the wall clock that timestamps the appended records. */
  readonly setNowMs: (nowMs: number) => void;
  /** Removes the records before an offset. */
  readonly trim: (before: number) => void;
  readonly setOutage: (isUnavailable: boolean) => void;
  /** Runs once before the next append takes effect. */
  readonly beforeNextAppend: (run: () => Promise<void>) => void;
  /** Loses the response to the next append; `isAppended` says whether the records are appended. */
  readonly loseNextAppendResponse: (isAppended: boolean) => void;
}

/** Creates an in-memory log that can fail like a real one; `trim` applies to the configuration stream. */
export const createMemoryLog = (): MemoryLog => {
  const streams = new Map<string, LogRecord[]>();
  let earliestConfigurationOffset = 1;
  let nowMs = 0;
  let isUnavailable = false;
  let beforeAppend: (() => Promise<void>) | undefined;
  let lostResponse: { readonly isAppended: boolean } | undefined;

  const getRecords = (stream: string): LogRecord[] => {
    const records = streams.get(stream) ?? [];
    streams.set(stream, records);
    return records;
  };

  const appendRecords = (records: LogRecord[], values: readonly unknown[]): number => {
    const firstOffset = records.length + 1;
    const added = values.map((value, index) => ({
      offset: firstOffset + index,
      appendedAtMs: nowMs,
      // Serialised as on the wire, so that what JSON omits is missing here too.
      value: JSON.parse(JSON.stringify(value)) as unknown,
    }));
    records.push(...added);
    return firstOffset;
  };

  const client: LogClient = {
    append: async ({ stream, records: values }) => {
      const run = beforeAppend;
      beforeAppend = undefined;
      await run?.();
      if (isUnavailable) {
        return Left({ type: 'unavailable', detail: 'outage' });
      }
      const lost = lostResponse;
      lostResponse = undefined;
      if (lost?.isAppended === false) {
        return Left({ type: 'outcomeUnknown', detail: 'lost' });
      }
      const records = getRecords(stream);
      const firstOffset = appendRecords(records, values);
      return lost === undefined
        ? Right({ firstOffset, nextOffset: records.length + 1 })
        : Left({ type: 'outcomeUnknown', detail: 'lost' });
    },
    read: ({ stream, from, limit }) => {
      const records = getRecords(stream);
      const earliestOffset = stream === CONFIGURATION_STREAM ? earliestConfigurationOffset : 1;
      if (isUnavailable) {
        return Promise.resolve(Left({ type: 'unavailable', detail: 'outage' }));
      }
      if (from < earliestOffset) {
        return Promise.resolve(Left({ type: 'trimmed', earliestOffset }));
      }
      const read = records.filter(({ offset }) => offset >= from).slice(0, limit);
      const nextOffset = from + read.length;
      const endOffset = records.length + 1;
      return Promise.resolve(Right({ from, earliestOffset, nextOffset, endOffset, records: read }));
    },
    [Symbol.asyncDispose]: () => Promise.resolve(),
  };
  return {
    client,
    records: getRecords(CONFIGURATION_STREAM),
    setNowMs: (value) => {
      nowMs = value;
    },
    trim: (before) => {
      earliestConfigurationOffset = before;
    },
    setOutage: (value) => {
      isUnavailable = value;
    },
    beforeNextAppend: (run) => {
      beforeAppend = run;
    },
    loseNextAppendResponse: (isAppended) => {
      lostResponse = { isAppended };
    },
  };
};
