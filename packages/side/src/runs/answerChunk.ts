/** Bytes of an answer's body and the place of the first of them. */
export interface AnswerChunk {
  readonly offset: number;
  readonly bytes: Uint8Array;
}
