import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import type { ConfigurationDocument, Pool } from '@parsleyhall/configuration';
import type { ArrivedRequest } from '@parsleyhall/entry';
import type { InvalidRequest } from '../problems/invalidRequest.js';
import { newInvalidRequest } from '../problems/newInvalidRequest.js';
import type { CallerTerms } from './callerTerms.js';
import { computePrefixFingerprints } from './computePrefixFingerprints.js';
import type { ModelCall } from './modelCall.js';
import { parseModelCall } from './parseModelCall.js';
import { PREFIX_BLOCKS } from './prefixBlocks.js';
import type { ReceivedRequest } from './receivedRequest.js';
import { selectHeaders } from './selectHeaders.js';

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
    ? Left(newInvalidRequest('unknownModel', 'No pool of engines serves this model.'))
    : Right(pool);
};

const toArrived = (
  pool: Pool,
  call: ModelCall,
  received: ReceivedRequest,
  terms: CallerTerms,
): ArrivedRequest => ({
  requestId: received.requestId,
  team: terms.team,
  tier: terms.tier,
  pool: pool.name,
  model: call.model,
  kind: terms.kind ?? received.path,
  deadlineMs: received.arrivedAtMs + terms.deadlineInMs,
  ...(terms.firstTokenInMs !== undefined && call.isStreaming
    ? { firstTokenByMs: received.arrivedAtMs + terms.firstTokenInMs }
    : {}),
  prefillTokens: Math.max(1, Math.ceil(call.prompt.length / PREFIX_BLOCKS.charactersPerToken)),
  decodeTokens: call.decodeTokens,
  prefixFingerprints: computePrefixFingerprints(call.prompt),
  call: {
    method: 'POST',
    path: received.path,
    headers: selectHeaders(received.headers),
    body: received.body,
    isStreaming: call.isStreaming,
  },
});

/** Makes a checked request of a call to a model. */
export const newModelRequest = (
  fullyReceived: ReceivedRequest,
  terms: CallerTerms,
  document: ConfigurationDocument,
): Either<InvalidRequest, ArrivedRequest> => {
  const path = fullyReceived.path.startsWith(CHAT_PATH) ? CHAT_PATH : COMPLETION_PATH;
  const received = { ...fullyReceived, path };
  return parseModelCall(path === CHAT_PATH ? 'chat' : 'completion', received.body).chain((call) =>
    findPool(document, call.model).map((pool) => toArrived(pool, call, received, terms)),
  );
};
