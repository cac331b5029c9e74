import type { LogRecord } from './logRecord.js';

/** One append-only sequence of records with limited retention; offsets start at 1. */
export class LogStream {
  private records: LogRecord[] = [];
  private nextOffset = 1;
  private readonly waiters = new Set<() => void>();
  appends = 0;

  /** Offset that the next record will take. */
  get endOffset(): number {
    return this.nextOffset;
  }

  /** Offset of the oldest record kept, or the end when there is none. */
  get earliestOffset(): number {
    return this.records[0]?.offset ?? this.nextOffset;
  }

  /** Appends a batch and answers its first offset. */
  append(values: readonly unknown[]): number {
    const firstOffset = this.nextOffset;
    const appendedAtMs = Date.now();
    for (const value of values) {
      this.records.push({ offset: this.nextOffset, appendedAtMs, value });
      this.nextOffset += 1;
    }
    this.appends += 1;
    this.wake();
    return firstOffset;
  }

  /** The kept records from an offset on. */
  read(from: number, limit: number): readonly LogRecord[] {
    const start = Math.max(0, from - this.earliestOffset);
    return this.records.slice(start, start + limit);
  }

  /** Drops the records before an offset. */
  trim(before: number): void {
    this.records = this.records.filter((record) => record.offset >= before);
  }

  /** Drops the records appended before a time. */
  trimOlderThan(appendedAtMs: number): void {
    const first = this.records[0];
    if (first !== undefined && first.appendedAtMs < appendedAtMs) {
      this.records = this.records.filter((record) => record.appendedAtMs >= appendedAtMs);
    }
  }

  /** Ends all long polls. */
  wake(): void {
    for (const waiter of this.waiters) {
      waiter();
    }
  }

  /** Resolves at the next append or wake, or after the time given. */
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
