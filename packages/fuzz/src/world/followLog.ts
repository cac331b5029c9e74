import { assertNever } from '@parsleyhall/common';
import type { LogFake } from './logFake.js';
import type { Simulation } from './simulation.js';

type ReadResult = Parameters<Parameters<LogFake['read']>[2]>[0];
type Page = Extract<ReadResult, { readonly type: 'page' }> & { readonly from: number };

const POLL_MS = 60;
const RETRY_MS = 100;

/** Reads a stream from its start and on, as a process's follower does, while the process lives and runs. */
export const followLog = ({
  simulation,
  log,
  stream,
  run,
  onPage,
  onFailure,
}: {
  readonly simulation: Simulation;
  readonly log: LogFake;
  readonly stream: string;
  /** Runs a step when the process runs; never once it has ended. */
  readonly run: (step: () => void) => void;
  readonly onPage: (page: Page) => void;
  readonly onFailure: () => void;
}): void => {
  const readLater = (afterMs: number, from: number): void => {
    simulation.schedule(afterMs, () => {
      run(() => {
        readFrom(from);
      });
    });
  };
  const takeResult = (from: number, result: ReadResult): void => {
    switch (result.type) {
      case 'failed':
        onFailure();
        readLater(RETRY_MS, from);
        return;
      case 'trimmed':
        readFrom(result.earliestOffset);
        return;
      case 'page':
        onPage({ ...result, from });
        readLater(result.isAtEnd ? POLL_MS : 1, result.nextOffset);
        return;
      default:
        assertNever(result);
    }
  };
  const readFrom = (from: number): void => {
    log.read(stream, from, (result) => {
      run(() => {
        takeResult(from, result);
      });
    });
  };
  readFrom(1);
};
