/** The properties of a call to a model that the scheduler uses. */
export interface ModelCall {
  readonly model: string;
  /** Text of the prompt; messages are joined by line breaks. */
  readonly prompt: string;
  readonly decodeTokens: number;
  readonly isStreaming: boolean;
}
