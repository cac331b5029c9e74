/** An entry of the soak, a process of its own. */
export interface SoakEntry extends AsyncDisposable {
  readonly ip: string;
  readonly port: number;
  /** Takes new callers. */
  readonly isTaking: () => boolean;
  /** Killed and started again. */
  readonly kill: () => Promise<void>;
  /** Stopped as planned and started again. */
  readonly stop: () => Promise<void>;
  readonly pause: (forMs: number) => Promise<void>;
}
