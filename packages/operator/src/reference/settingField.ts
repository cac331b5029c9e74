/** One field of a document, as the settings reference shows it. */
export interface SettingField {
  readonly path: string;
  readonly allowed: string;
  /** The default as JSON text; undefined when there is none. */
  readonly defaultText: string | undefined;
  readonly isRequired: boolean;
  readonly meaning: string;
}
