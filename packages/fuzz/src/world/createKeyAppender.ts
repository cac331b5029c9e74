import type { KeyRecord } from '@parsleyhall/entry';
import type { LogFake } from './logFake.js';
import type { Simulation } from './simulation.js';

const BATCH_MS = 10;
const RETRY_MS = 100;

const isSameRecord = (left: KeyRecord, right: KeyRecord): boolean =>
  left.type === right.type && left.key === right.key && left.attempt === right.attempt;

/**
 * Appends key records in batches, one append at a time. After a failed append it repeats only what has not been read
 * back meanwhile.
 */
export const createKeyAppender = ({
  simulation,
  log,
  stream,
  run,
  onFailure,
}: {
  readonly simulation: Simulation;
  readonly log: LogFake;
  readonly stream: string;
  readonly run: (step: () => void) => void;
  readonly onFailure: () => void;
}): {
  readonly append: (record: KeyRecord) => void;
  readonly onRead: (records: readonly KeyRecord[]) => void;
} => {
  let waiting: readonly KeyRecord[] = [];
  let isBusy = false;
  const sendBatch = (): void => {
    const batch = waiting;
    if (batch.length === 0) {
      isBusy = false;
      return;
    }
    log.append(stream, batch, (isAppended) => {
      run(() => {
        if (isAppended) {
          waiting = waiting.filter((record) => !batch.includes(record));
          sendBatch();
          return;
        }
        onFailure();
        simulation.schedule(RETRY_MS, () => {
          run(sendBatch);
        });
      });
    });
  };
  return {
    append: (record) => {
      waiting = [...waiting, record];
      if (isBusy) {
        return;
      }
      isBusy = true;
      simulation.schedule(BATCH_MS, () => {
        run(sendBatch);
      });
    },
    onRead: (records) => {
      waiting = waiting.filter((own) => !records.some((record) => isSameRecord(own, record)));
    },
  };
};
