/** What a process says it has cost since its start. */
export interface Usage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  /** Counters of the process by name, summed over their labels. */
  readonly counters: Readonly<Record<string, number>>;
}
