/** Options as the command line gives them; an option of another command is absent. */
export interface CommandOptions {
  /** Arguments beyond those that the command names. */
  readonly _: readonly string[];
  readonly settings?: string;
  readonly json: boolean;
  readonly as?: string;
  readonly watch: boolean;
  readonly 'owner-gone'?: boolean;
  readonly html?: string;
  readonly long?: string;
  readonly short?: string;
}
