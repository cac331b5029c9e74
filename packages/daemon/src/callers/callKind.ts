/** Whether a caller calls a model or a plain service. */
export type CallKind = 'model' | 'service';
