import type { AnswerSink } from './answerSink.js';
import type { Exchange } from './exchange.js';
import type { TargetCall } from './targetCall.js';

/** Calls targets over connections that are kept. */
export interface TargetCaller extends AsyncDisposable {
  readonly call: (call: TargetCall, sink: AnswerSink) => Exchange;
}
