import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import { getPresetInForce } from '@parsleyhall/configuration';
import type { ConfigurationDocument, Preset } from '@parsleyhall/configuration';
import type { ArrivedRequest, FinalFailure } from '@parsleyhall/entry';
import { createModelRequest } from './parsing/createModelRequest.js';
import { createServiceRequest } from './parsing/createServiceRequest.js';
import { readBody } from './parsing/readBody.js';
import { readRequestParameters } from './parsing/readRequestParameters.js';
import type { ReceivedRequest } from './parsing/receivedRequest.js';
import type { CallerServerOptions } from './callerServerOptions.js';
import type { CallKind } from './callKind.js';
import { getFailureProblem } from './problems/getFailureProblem.js';
import { getInvalidProblem } from './problems/getInvalidProblem.js';
import type { InvalidRequest } from './problems/invalidRequest.js';
import { sendProblem } from './problems/sendProblem.js';

const NO_CONFIGURATION: FinalFailure = {
  type: 'notRun',
  reason: 'noConfiguration',
  retryAfterMs: 1_000,
};

interface ActiveConfiguration {
  readonly document: ConfigurationDocument;
  readonly preset: Preset;
}

const REQUEST_FACTORIES = { model: createModelRequest, service: createServiceRequest } as const;

const getActiveConfiguration = (
  options: CallerServerOptions,
): Either<FinalFailure, ActiveConfiguration> => {
  const configuration = options.getConfiguration();
  const preset = getPresetInForce(configuration);
  return configuration.document === undefined || preset === undefined
    ? Left(NO_CONFIGURATION)
    : Right({ document: configuration.document, preset });
};

const createRequest = (
  callKind: CallKind,
  received: ReceivedRequest,
  { document, preset }: ActiveConfiguration,
): Either<InvalidRequest, ArrivedRequest> =>
  readRequestParameters(received.headers, document, preset).chain((parameters) =>
    REQUEST_FACTORIES[callKind](received, parameters, document),
  );

/** Creates the handler that reads a call, validates it and passes it on; each failure gets a problem document. */
export const createCallerHandler =
  (options: CallerServerOptions, callKind: CallKind) =>
  async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const requestId = options.newRequestId();
    const arrivedAtMs = options.getNowMs();
    const rejectRequest = (fault: InvalidRequest): void => {
      options.onInvalid(fault);
      sendProblem(response, getInvalidProblem(fault), requestId);
    };
    const submitRequest = (body: Uint8Array, activeConfiguration: ActiveConfiguration): void => {
      const method = request.method ?? 'GET';
      const path = request.url ?? '/';
      const received = { requestId, method, path, headers: request.headers, body, arrivedAtMs };
      createRequest(callKind, received, activeConfiguration).caseOf({
        Left: rejectRequest,
        Right: (arrived) => {
          options.onArrived(arrived, arrivedAtMs, response);
        },
      });
    };
    const handleBody = (body: Uint8Array): void => {
      getActiveConfiguration(options).caseOf({
        Left: (failure) => {
          sendProblem(response, getFailureProblem(failure), requestId);
        },
        Right: (activeConfiguration) => {
          submitRequest(body, activeConfiguration);
        },
      });
    };
    const bodyRead = await readBody(request, options.maximumBodyBytes);
    if (!response.destroyed) {
      bodyRead.caseOf({ Left: rejectRequest, Right: handleBody });
    }
  };
