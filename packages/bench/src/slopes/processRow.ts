/** What the processes of one role cost, as the mean of one process. */
export interface ProcessRow {
  readonly role: 'entry' | 'side';
  /** Processor time without requests, as a share of one core. */
  readonly idleCoreShare: number;
  readonly residentBytes: number;
  /** Processor time that one request adds over all processes of the role, in microseconds. */
  readonly microsecondsPerRequest: number;
  /** Processor time that one streamed token adds over all processes of the role, in microseconds. */
  readonly microsecondsPerToken: number;
}
