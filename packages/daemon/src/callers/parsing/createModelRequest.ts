import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import type { ConfigurationDocument, Pool } from '@parsleyhall/configuration';
import type { ArrivedRequest } from '@parsleyhall/entry';
import type { InvalidRequest } from '../problems/invalidRequest.js';
import { createInvalidRequest } from '../problems/createInvalidRequest.js';
import type { RequestParameters } from './requestParameters.js';
import { computePrefixFingerprints } from './computePrefixFingerprints.js';
import type { ModelCall } from './modelCall.js';
import { parseModelCall } from './parseModelCall.js';
import { PREFIX_BLOCKS } from './prefixBlocks.js';
import type { ReceivedRequest } from './receivedRequest.js';
import { selectRequestHeaders } from './selectRequestHeaders.js';

const CHAT_PATH = '/v1/chat/completions';
const COMPLETION_PATH = '/v1/completions';

const findPool = (
  { pools }: ConfigurationDocument,
  model: string,
): Either<InvalidRequest, Pool> => {
  const pool = pools.find(
    (candidate) => candidate.kind === 'engine' && candidate.models.includes(model),
  );
  return pool === undefined
    ? Left(createInvalidRequest('unknownModel', 'No pool of engines serves this model.'))
    : Right(pool);
};

const toArrivedRequest = (
  pool: Pool,
  call: ModelCall,
  received: ReceivedRequest,
  parameters: RequestParameters,
): ArrivedRequest => ({
  requestId: received.requestId,
  team: parameters.team,
  tier: parameters.tier,
  pool: pool.name,
  model: call.model,
  kind: parameters.kind ?? received.path,
  deadlineMs: received.arrivedAtMs + parameters.timeoutMs,
  ...(parameters.firstTokenTimeoutMs !== undefined && call.isStreaming
    ? { firstTokenByMs: received.arrivedAtMs + parameters.firstTokenTimeoutMs }
    : {}),
  prefillTokens: Math.max(1, Math.ceil(call.prompt.length / PREFIX_BLOCKS.charactersPerToken)),
  decodeTokens: call.decodeTokens,
  prefixFingerprints: computePrefixFingerprints(call.prompt),
  call: {
    method: 'POST',
    path: received.path,
    headers: selectRequestHeaders(received.headers),
    body: received.body,
    isStreaming: call.isStreaming,
  },
});

/** Validates a call to a model and converts it to a request for the scheduler. */
export const createModelRequest = (
  receivedWithQuery: ReceivedRequest,
  parameters: RequestParameters,
  document: ConfigurationDocument,
): Either<InvalidRequest, ArrivedRequest> => {
  const path = receivedWithQuery.path.startsWith(CHAT_PATH) ? CHAT_PATH : COMPLETION_PATH;
  const received = { ...receivedWithQuery, path };
  return parseModelCall(path === CHAT_PATH ? 'chat' : 'completion', received.body).chain((call) =>
    findPool(document, call.model).map((pool) =>
      toArrivedRequest(pool, call, received, parameters),
    ),
  );
};
