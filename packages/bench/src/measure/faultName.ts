/** What goes wrong in a measured run. */
export type FaultName =
  'none' | 'burst' | 'straggler' | 'kill-side' | 'kill-entry' | 'log-outage' | 'drain';
