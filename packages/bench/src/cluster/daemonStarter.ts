import type { RunningProcess } from './runningProcess.js';

/** Ports to listen on again, after a restart. */
interface Ports {
  readonly listen: number;
  readonly operatorListen: number;
}

/** Starts the product's processes of a plan by name. */
export interface DaemonStarter {
  readonly startEntry: (process: string) => Promise<RunningProcess>;
  readonly startSide: (process: string, ports?: Ports) => Promise<RunningProcess>;
}
