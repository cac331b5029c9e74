import type { ResponseSink } from './responseSink.js';
import type { Exchange } from './exchange.js';
import type { TargetRequest } from './targetRequest.js';

/** Sends requests to targets over connections that are reused. */
export interface TargetClient extends AsyncDisposable {
  readonly send: (call: TargetRequest, sink: ResponseSink) => Exchange;
}
