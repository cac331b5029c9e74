/** One fault of a settings file. */
export interface SettingsFault {
  /** Place in the document, such as `listen.port`; empty for the whole of it. */
  readonly path: string;
  /** What stands there, as JSON. */
  readonly found: string;
  /** What may stand there. */
  readonly allowed: string;
}
