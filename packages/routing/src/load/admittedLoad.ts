/** The recently admitted work of one priority and priority class. */
export interface AdmittedLoad {
  readonly priority: number;
  readonly priorityClass: number;
  /** Expected duration admitted per unit of time, as of `atMs`: the number of slots that it keeps busy. */
  readonly slots: number;
  readonly atMs: number;
}
