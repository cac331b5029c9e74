/** All that the text of an answer depends on. */
export interface AnswerDescription {
  readonly requestId: string;
  readonly endpoint: 'chat' | 'completion';
  readonly model: string;
  readonly prompt: string;
  readonly answerTokens: number;
  readonly isStreaming: boolean;
}
