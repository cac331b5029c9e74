/** Bytes that were read at once. */
export interface ReadBlock {
  readonly bytes: Buffer;
  /** The block of the pool that the bytes were moved to; undefined while they are in the buffer that they were read into. */
  readonly storage?: Buffer;
  /** The earliest moment at which they may have arrived, in milliseconds of the monotonic clock. */
  readonly earliestArrivalAtMs: number;
  /** When they were read, in milliseconds of the monotonic clock. */
  readonly readAtMs: number;
  parsedBytes: number;
}
