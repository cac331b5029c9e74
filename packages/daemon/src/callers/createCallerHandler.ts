import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import { getPresetInForce } from '@parsleyhall/configuration';
import type { ConfigurationDocument, Preset } from '@parsleyhall/configuration';
import type { ArrivedRequest, FinalFailure } from '@parsleyhall/entry';
import { newModelRequest } from './border/newModelRequest.js';
import { newServiceRequest } from './border/newServiceRequest.js';
import { readBody } from './border/readBody.js';
import { readTerms } from './border/readTerms.js';
import type { ReceivedRequest } from './border/receivedRequest.js';
import type { CallersServerOptions } from './callersServerOptions.js';
import type { CallerTarget } from './callerTarget.js';
import { getFailureProblem } from './problems/getFailureProblem.js';
import { getInvalidProblem } from './problems/getInvalidProblem.js';
import type { InvalidRequest } from './problems/invalidRequest.js';
import { sendProblem } from './problems/sendProblem.js';

const NO_CONFIGURATION: FinalFailure = {
  type: 'notRun',
  reason: 'noConfiguration',
  retryAfterMs: 1_000,
};

interface InForce {
  readonly document: ConfigurationDocument;
  readonly preset: Preset;
}

const REQUEST_MAKERS = { model: newModelRequest, service: newServiceRequest } as const;

const getInForce = (options: CallersServerOptions): Either<FinalFailure, InForce> => {
  const configuration = options.getConfiguration();
  const preset = getPresetInForce(configuration);
  return configuration.document === undefined || preset === undefined
    ? Left(NO_CONFIGURATION)
    : Right({ document: configuration.document, preset });
};

const makeRequest = (
  target: CallerTarget,
  received: ReceivedRequest,
  { document, preset }: InForce,
): Either<InvalidRequest, ArrivedRequest> =>
  readTerms(received.headers, document, preset).chain((terms) =>
    REQUEST_MAKERS[target](received, terms, document),
  );

/** Creates the handler that reads a call, checks it and hands it over; every other way out is a problem document. */
export const createCallerHandler =
  (options: CallersServerOptions, target: CallerTarget) =>
  async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const requestId = options.newRequestId();
    const arrivedAtMs = options.getNowMs();
    const refuse = (fault: InvalidRequest): void => {
      options.onInvalid(fault);
      sendProblem(response, getInvalidProblem(fault), requestId);
    };
    const handOver = (body: Uint8Array, inForce: InForce): void => {
      const method = request.method ?? 'GET';
      const path = request.url ?? '/';
      const received = { requestId, method, path, headers: request.headers, body, arrivedAtMs };
      makeRequest(target, received, inForce).caseOf({
        Left: refuse,
        Right: (arrived) => {
          options.onArrived(arrived, arrivedAtMs, response);
        },
      });
    };
    const takeBody = (body: Uint8Array): void => {
      getInForce(options).caseOf({
        Left: (failure) => {
          sendProblem(response, getFailureProblem(failure), requestId);
        },
        Right: (inForce) => {
          handOver(body, inForce);
        },
      });
    };
    const read = await readBody(request, options.maximumBodyBytes);
    if (!response.destroyed) {
      read.caseOf({ Left: refuse, Right: takeBody });
    }
  };
