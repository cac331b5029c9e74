/** Everything that determines the text of a response, except for its count of cached tokens. */
export interface AnswerDescription {
  readonly requestId: string;
  readonly endpoint: 'chat' | 'completion';
  readonly model: string;
  readonly prompt: string;
  readonly answerTokens: number;
  readonly isStreaming: boolean;
}
