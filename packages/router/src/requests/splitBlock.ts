/** A part of a stream that ends with a blank line. */
export interface SplitBlock {
  readonly bytes: Buffer;
  /** False if it holds nothing but comments. */
  readonly isEvent: boolean;
  /** The id of the event, if it states one. */
  readonly id?: string;
}
