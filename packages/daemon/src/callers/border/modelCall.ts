/** What the scheduler needs to know of a call to a model. */
export interface ModelCall {
  readonly model: string;
  /** The prompt's text; messages are joined by line ends. */
  readonly prompt: string;
  readonly decodeTokens: number;
  readonly isStreaming: boolean;
}
