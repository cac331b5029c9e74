import type { LogRecord } from './logRecord.js';

/** Append-only stream of records with limited retention. Offsets start at 1. */
export class LogStream {
  private records: LogRecord[] = [];
  private nextOffset = 1;
  private readonly waiters = new Set<() => void>();
  appends = 0;

  /** Offset of the next record to be appended. */
  get endOffset(): number {
    return this.nextOffset;
  }

  /** Offset of the oldest retained record, or the end offset when the stream is empty. */
  get earliestOffset(): number {
    return this.records[0]?.offset ?? this.nextOffset;
  }

  /** Appends a batch of records and returns the offset of the first one. */
  append(values: readonly unknown[]): number {
    const firstOffset = this.nextOffset;
    const appendedAtMs = Date.now();
    for (const value of values) {
      this.records.push({ offset: this.nextOffset, appendedAtMs, value });
      this.nextOffset += 1;
    }
    this.appends += 1;
    this.endLongPolls();
    return firstOffset;
  }

  /** Returns up to `limit` retained records, starting at an offset. */
  read(fromOffset: number, limit: number): readonly LogRecord[] {
    const start = Math.max(0, fromOffset - this.earliestOffset);
    return this.records.slice(start, start + limit);
  }

  /** Deletes the records before an offset. */
  trim(beforeOffset: number): void {
    this.records = this.records.filter((record) => record.offset >= beforeOffset);
  }

  /** Deletes the records that were appended before a time. */
  trimOlderThan(appendedAtMs: number): void {
    const first = this.records[0];
    if (first !== undefined && first.appendedAtMs < appendedAtMs) {
      this.records = this.records.filter((record) => record.appendedAtMs >= appendedAtMs);
    }
  }

  /** Ends all pending long polls. */
  endLongPolls(): void {
    for (const waiter of this.waiters) {
      waiter();
    }
  }

  /** Resolves at the next append, when long polls are ended, or after `waitMs` milliseconds. */
  async waitForAppend(waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.waiters.add(finish);
    });
  }
}
