/** One fault of a JSON document: where it is, what was found there and what is allowed. */
export interface DocumentFault {
  /** Place in the document, such as `presets[1].tiers[0].objective`; `(document)` for the whole. */
  readonly path: string;
  /** The value found, in brief. */
  readonly found: string;
  /** The values allowed, in words. */
  readonly allowed: string;
}
