import type { Either } from 'purify-ts';
import type { AppendedRange } from './appendedRange.js';
import type { LogFailure } from './logFailure.js';
import type { LogPage } from './logPage.js';

/** Client of the platform's append-only log; it never retries a call by itself. */
export interface LogClient extends AsyncDisposable {
  /** Appends records to a stream as one batch, in the given order. */
  readonly append: (append: {
    readonly stream: string;
    readonly records: readonly unknown[];
    readonly signal?: AbortSignal | undefined;
  }) => Promise<Either<LogFailure, AppendedRange>>;
  /** Reads up to `limit` records from offset `from`; at the end of the stream waits up to `waitMs` for a new record. */
  readonly read: (read: {
    readonly stream: string;
    readonly from: number;
    readonly limit: number;
    readonly waitMs: number;
    readonly signal?: AbortSignal | undefined;
  }) => Promise<Either<LogFailure, LogPage>>;
}
