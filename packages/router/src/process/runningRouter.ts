import type { RouterSettings } from './routerSettings.js';

/** A router that is running. */
export interface RunningRouter extends AsyncDisposable {
  /** IP address and port for callers. */
  readonly callersAddress: string;
  /** IP address and port for the platform's readiness checks. */
  readonly readinessAddress: string;
  readonly metricsAddress: string;
  /** Applies changed settings; changed addresses take effect only after a restart. */
  readonly applySettings: (settings: RouterSettings) => void;
  /** Starts a graceful shutdown. */
  readonly requestStop: () => void;
  readonly whenStopped: Promise<void>;
}
