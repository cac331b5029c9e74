/** A validation error of a JSON document. */
export interface DocumentFault {
  /** Path of the value, such as `presets[1].tiers[0].objective`; `(document)` stands for the whole document. */
  readonly path: string;
  /** The invalid value as JSON, shortened if it is long; `nothing` if it is missing. */
  readonly found: string;
  /** Description of the allowed values. */
  readonly allowed: string;
}
