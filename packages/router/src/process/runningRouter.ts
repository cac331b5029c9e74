import type { RouterSettings } from './routerSettings.js';

/** A router that serves. */
export interface RunningRouter extends AsyncDisposable {
  /** Where callers connect: IP address and port. */
  readonly callersAddress: string;
  /** Where the platform asks: IP address and port. */
  readonly readinessAddress: string;
  readonly metricsAddress: string;
  /** Takes over changed settings; addresses stay as they are until a restart. */
  readonly applySettings: (settings: RouterSettings) => void;
  /** Starts a planned stop. */
  readonly requestStop: () => void;
  readonly whenStopped: Promise<void>;
}
