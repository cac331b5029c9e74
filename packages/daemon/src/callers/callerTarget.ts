/** What a caller asks for: an answer of a model or of a plain service. */
export type CallerTarget = 'model' | 'service';
