/** An entry to start. */
interface EntryPlan {
  readonly process: string;
  readonly host: string;
  readonly dataCentre: string;
}

/** A target to start, with its side process. */
interface TargetPlan {
  readonly process: string;
  readonly host: string;
  readonly dataCentre: string;
  readonly pool: string;
  readonly kind: 'engine' | 'service';
  readonly models: readonly string[];
  /** Settings of the stand-in. */
  readonly standIn: Readonly<Record<string, unknown>>;
}

/** All processes of a cluster on this machine. */
export interface ClusterPlan {
  readonly entries: readonly EntryPlan[];
  readonly targets: readonly TargetPlan[];
  /** Runs the targets of one kind in one process, so that many fit on the machine. */
  readonly sharesTargetProcesses: boolean;
  /** One-way delay between data centres, in milliseconds. */
  readonly dataCentreDelayMs: number;
  /** One-way delay between callers and entries, in milliseconds. */
  readonly callerDelayMs: number;
  /** Script and leading arguments that run an entry or side process. */
  readonly daemon: { readonly script: string; readonly arguments: readonly string[] };
  readonly entrySettings: Readonly<Record<string, unknown>>;
  readonly sideSettings: Readonly<Record<string, unknown>>;
  readonly logSettings: Readonly<Record<string, unknown>>;
}
