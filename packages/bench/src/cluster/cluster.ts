import type { RunningProcess } from './runningProcess.js';

/** A running entry. */
interface ClusterEntry {
  readonly process: string;
  readonly host: string;
  readonly running: RunningProcess;
  /** Address for callers, with the delay to them. */
  readonly callers: string;
  readonly operators: string;
}

/** A running target and its side process. */
interface ClusterTarget {
  readonly process: string;
  readonly host: string;
  readonly kind: 'engine' | 'service';
  /** Address of the stand-in. */
  readonly standIn: string;
  readonly operators: string;
  readonly pid: number;
}

/** A running cluster; disposing it ends all that was started. */
export interface Cluster extends AsyncDisposable {
  readonly folder: string;
  readonly log: string;
  readonly lists: readonly string[];
  readonly entries: readonly ClusterEntry[];
  readonly getTargets: () => readonly ClusterTarget[];
  /** Kills a side process and starts its successor on the same port. */
  readonly replaceSide: (process: string, downMs: number) => Promise<void>;
  /** Process ids of all that runs. */
  readonly getPids: () => readonly number[];
}
