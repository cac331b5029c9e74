/** One field of a document, as the settings reference shows it. */
export interface SettingField {
  readonly path: string;
  readonly allowed: string;
  /** JSON text of the default; undefined without one. */
  readonly defaultText: string | undefined;
  readonly isRequired: boolean;
  readonly meaning: string;
}
