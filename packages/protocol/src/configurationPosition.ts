/** Where a process stands in the configuration: the log offset of the last accepted record, 0 for none. */
export interface ConfigurationPosition {
  readonly version: number;
}
