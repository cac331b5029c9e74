/** Stand-ins for the platform's log and host list, with a published configuration. */
export interface TestPlatform extends AsyncDisposable {
  readonly logAddress: string;
  readonly listAddress: string;
  readonly putHost: (record: {
    readonly process: string;
    readonly role: 'entry' | 'target';
    readonly address: string;
    readonly state?: 'live' | 'leaving';
  }) => Promise<void>;
  /** Creates the settings that entries and side processes share. */
  readonly createSettings: (process: string) => object;
}
