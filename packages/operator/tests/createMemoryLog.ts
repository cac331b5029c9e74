import { Left, Right } from 'purify-ts';
import { CONFIGURATION_STREAM } from '@parsleyhall/configuration';
import type { LogClient, LogRecord } from '@parsleyhall/clients';

interface MemoryLog {
  readonly client: LogClient;
  readonly records: readonly LogRecord[];
  /** Sets the wall clock that appends are marked with. */
  readonly setNowMs: (nowMs: number) => void;
  /** Drops the records before an offset. */
  readonly trim: (before: number) => void;
  readonly setOutage: (isOut: boolean) => void;
  /** Runs once before the next append takes effect. */
  readonly beforeNextAppend: (run: () => Promise<void>) => void;
  /** The next append's answer is lost, after it took effect or instead. */
  readonly loseNextAnswer: (isTaken: boolean) => void;
}

/** A log in memory with the failures of a real one; `trim` applies to its configuration stream. */
export const createMemoryLog = (): MemoryLog => {
  const streams = new Map<string, LogRecord[]>();
  let trimmedTo = 1;
  let nowMs = 0;
  let isOut = false;
  let beforeAppend: (() => Promise<void>) | undefined;
  let lostAnswer: { readonly isTaken: boolean } | undefined;

  const getRecords = (stream: string): LogRecord[] => {
    const records = streams.get(stream) ?? [];
    streams.set(stream, records);
    return records;
  };

  const take = (records: LogRecord[], values: readonly unknown[]): number => {
    const firstOffset = records.length + 1;
    const added = values.map((value, index) => ({
      offset: firstOffset + index,
      appendedAtMs: nowMs,
      // As over the wire: what JSON drops is dropped here too.
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
      if (isOut) {
        return Left({ type: 'unavailable', detail: 'outage' });
      }
      const lost = lostAnswer;
      lostAnswer = undefined;
      if (lost?.isTaken === false) {
        return Left({ type: 'outcomeUnknown', detail: 'lost' });
      }
      const records = getRecords(stream);
      const firstOffset = take(records, values);
      return lost === undefined
        ? Right({ firstOffset, nextOffset: records.length + 1 })
        : Left({ type: 'outcomeUnknown', detail: 'lost' });
    },
    read: ({ stream, from, limit }) => {
      const records = getRecords(stream);
      const earliestOffset = stream === CONFIGURATION_STREAM ? trimmedTo : 1;
      if (isOut) {
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
      trimmedTo = before;
    },
    setOutage: (value) => {
      isOut = value;
    },
    beforeNextAppend: (run) => {
      beforeAppend = run;
    },
    loseNextAnswer: (isTaken) => {
      lostAnswer = { isTaken };
    },
  };
};
