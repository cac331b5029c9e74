/** Options as the command line gives them; an option of another command is absent. */
export interface CommandOptions {
  readonly settings?: string;
  readonly json: boolean;
  readonly as?: string;
  readonly watch: boolean;
  readonly 'owner-gone'?: boolean;
  readonly html?: string;
  readonly long?: string;
  readonly short?: string;
}
