/** A router in a process of its own, under measure. */
export interface MeasuredRouter {
  readonly address: string;
  /** Ends the process and tells what it cost and wrote. */
  readonly finish: () => Promise<{
    readonly cpuSeconds: number;
    readonly lines: number;
    readonly bytes: number;
  }>;
}
