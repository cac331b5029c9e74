import type { Either } from 'purify-ts';
import type { AppendedRange } from './appendedRange.js';
import type { LogFailure } from './logFailure.js';
import type { LogPage } from './logPage.js';

/** Access to the platform's append-only log; calls are never repeated by themselves. */
export interface LogClient extends AsyncDisposable {
  /** Appends records to a stream, together and in order. */
  readonly append: (append: {
    readonly stream: string;
    readonly records: readonly unknown[];
    readonly signal?: AbortSignal | undefined;
  }) => Promise<Either<LogFailure, AppendedRange>>;
  /** Reads up to `limit` records from an offset on; at the end of the stream waits up to `waitMs` for one. */
  readonly read: (read: {
    readonly stream: string;
    readonly from: number;
    readonly limit: number;
    readonly waitMs: number;
    readonly signal?: AbortSignal | undefined;
  }) => Promise<Either<LogFailure, LogPage>>;
}
