import type { ServerResponse } from 'node:http';
import type { RequestId } from '@parsleyhall/common';
import type { ConfigurationState } from '@parsleyhall/configuration';
import type { ArrivedRequest } from '@parsleyhall/entry';
import type { InvalidRequest } from './problems/invalidRequest.js';

/** What the callers' server needs from the entry around it. */
export interface CallersServerOptions {
  readonly maximumBodyBytes: number;
  readonly maximumHeaderBytes: number;
  readonly maximumConnections: number;
  readonly slowSenderTimeoutMs: number;
  readonly getNowMs: () => number;
  readonly newRequestId: () => RequestId;
  readonly getConfiguration: () => ConfigurationState;
  readonly isStopping: () => boolean;
  readonly formatMetrics: () => string;
  /** Takes over a checked request with the response to answer it on. */
  readonly onArrived: (
    request: ArrivedRequest,
    arrivedAtMs: number,
    response: ServerResponse,
  ) => void;
  readonly onInvalid: (fault: InvalidRequest) => void;
}
