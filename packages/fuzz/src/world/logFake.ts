/** A record as the log keeps it. */
interface LoggedRecord {
  readonly offset: number;
  readonly appendedAtMs: number;
  readonly value: unknown;
}

type ReadResult =
  | {
      readonly type: 'page';
      readonly records: readonly LoggedRecord[];
      readonly nextOffset: number;
      readonly isAtEnd: boolean;
    }
  | { readonly type: 'trimmed'; readonly earliestOffset: number }
  | { readonly type: 'failed' };

/** The platform's log at its interface: streams, retention, outages, lost answers. */
export interface LogFake {
  readonly append: (
    stream: string,
    values: readonly unknown[],
    done: (isAppended: boolean) => void,
  ) => void;
  readonly read: (stream: string, from: number, done: (result: ReadResult) => void) => void;
  readonly trim: (stream: string, beforeMs: number) => void;
  /** All records ever appended to the stream, also those past retention. */
  readonly getHistory: (stream: string) => readonly LoggedRecord[];
  readonly setOutageUntil: (untilMs: number) => void;
  readonly setSlowUntil: (untilMs: number) => void;
  readonly loseAnswers: (count: number) => void;
}
