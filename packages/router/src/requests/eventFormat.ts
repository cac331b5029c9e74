/** How targets write the events of their streams. */
export interface EventFormat {
  /** Whether each event has an id that is a whole number, one higher than that of the event before. */
  readonly isNumbered: boolean;
  /** The number of the first event of a stream that is numbered. */
  readonly firstNumber: number;
  /** Whether the id of an event comes before its other standard fields. */
  readonly isIdFirst: boolean;
  /** Lower-case names of fields that events may have besides the standard ones. */
  readonly extraFields: ReadonlySet<string>;
}
