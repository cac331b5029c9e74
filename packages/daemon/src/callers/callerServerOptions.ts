import type { ServerResponse } from 'node:http';
import type { RequestId } from '@parsleyhall/common';
import type { ConfigurationState } from '@parsleyhall/configuration';
import type { ArrivedRequest } from '@parsleyhall/entry';
import type { InvalidRequest } from './problems/invalidRequest.js';

/** The settings and callbacks that an entry gives to the server for its callers. */
export interface CallerServerOptions {
  readonly maximumBodyBytes: number;
  readonly maximumHeaderBytes: number;
  readonly maximumConnections: number;
  readonly slowSenderTimeoutMs: number;
  readonly getNowMs: () => number;
  readonly newRequestId: () => RequestId;
  readonly getConfiguration: () => ConfigurationState;
  readonly isStopping: () => boolean;
  readonly formatMetrics: () => string;
  /** Called with a valid request and the response to which its answer is written. */
  readonly onArrived: (
    request: ArrivedRequest,
    arrivedAtMs: number,
    response: ServerResponse,
  ) => void;
  readonly onInvalid: (fault: InvalidRequest) => void;
}
