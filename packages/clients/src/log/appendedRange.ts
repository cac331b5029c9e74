/** Range of offsets that were assigned to appended records. */
export interface AppendedRange {
  readonly firstOffset: number;
  /** One past the offset of the last appended record. */
  readonly nextOffset: number;
}
