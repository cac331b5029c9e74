/** Options as parsed from the command line; options that the command does not declare are absent. */
export interface CommandOptions {
  /** Positional arguments beyond those that the command declares. */
  readonly _: readonly string[];
  readonly settings?: string;
  readonly json: boolean;
  readonly as?: string;
  readonly against?: string;
  readonly watch: boolean;
  readonly 'owner-gone'?: boolean;
  readonly html?: string;
  readonly long?: string;
  readonly short?: string;
}
