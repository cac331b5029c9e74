/** What a command that did its work prints. */
export interface CommandOutput {
  readonly text: string;
  /** Printed in place of the text under `--json`. */
  readonly json: unknown;
}
