/** What a successful command prints. */
export interface CommandOutput {
  readonly text: string;
  /** Printed instead of the text with `--json`. */
  readonly json: unknown;
}
