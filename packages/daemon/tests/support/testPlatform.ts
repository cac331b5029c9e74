/** The log and the list of hosts, with a configuration published. */
export interface TestPlatform extends AsyncDisposable {
  readonly logAddress: string;
  readonly listAddress: string;
  readonly putHost: (record: {
    readonly process: string;
    readonly role: 'entry' | 'target';
    readonly address: string;
    readonly state?: 'live' | 'leaving';
  }) => Promise<void>;
  /** Settings that both kinds of process share. */
  readonly newSettings: (process: string) => object;
}
