import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import type { ConfigurationDocument, Pool } from '@parsleyhall/configuration';
import type { ArrivedRequest } from '@parsleyhall/entry';
import type { InvalidRequest } from '../problems/invalidRequest.js';
import { createInvalidRequest } from '../problems/createInvalidRequest.js';
import type { RequestParameters } from './requestParameters.js';
import { parseServicePath } from './parseServicePath.js';
import type { ReceivedRequest } from './receivedRequest.js';
import { selectRequestHeaders } from './selectRequestHeaders.js';
import type { ServicePath } from './servicePath.js';

const FIRST_PATH_SEGMENT = /^\/[^/]*/;

const findPool = ({ pools }: ConfigurationDocument, name: string): Either<InvalidRequest, Pool> => {
  const pool = pools.find((candidate) => candidate.kind === 'service' && candidate.name === name);
  return pool === undefined
    ? Left(createInvalidRequest('unknownPool', 'No pool of services has this name.'))
    : Right(pool);
};

const isNonIdempotent = (pool: Pool, method: string, normalizedPath: string): boolean =>
  pool.nonIdempotentCalls.some(
    (call) =>
      call.method.toUpperCase() === method.toUpperCase() &&
      normalizedPath.startsWith(call.pathPrefix),
  );

const toArrivedRequest = (
  pool: Pool,
  { targetPath, normalizedPath }: ServicePath,
  received: ReceivedRequest,
  parameters: RequestParameters,
): Either<InvalidRequest, ArrivedRequest> => {
  const isKeyRequired = isNonIdempotent(pool, received.method, normalizedPath);
  if (isKeyRequired && parameters.idempotencyKey === undefined) {
    const detail = `${received.method} ${normalizedPath} runs at most once and needs a key.`;
    return Left(createInvalidRequest('missingIdempotencyKey', detail));
  }
  return Right({
    requestId: received.requestId,
    team: parameters.team,
    tier: parameters.tier,
    pool: pool.name,
    model: '',
    kind: parameters.kind ?? FIRST_PATH_SEGMENT.exec(normalizedPath)?.[0].slice(0, 128) ?? '/',
    deadlineMs: received.arrivedAtMs + parameters.timeoutMs,
    prefillTokens: 1,
    decodeTokens: 1,
    prefixFingerprints: [],
    call: {
      method: received.method,
      path: targetPath,
      headers: selectRequestHeaders(received.headers),
      body: received.body,
      isStreaming: false,
    },
    ...(isKeyRequired && parameters.idempotencyKey !== undefined
      ? { idempotencyKey: parameters.idempotencyKey }
      : {}),
  });
};

/** Validates a call to a plain service and converts it to a request for the scheduler. */
export const createServiceRequest = (
  received: ReceivedRequest,
  parameters: RequestParameters,
  document: ConfigurationDocument,
): Either<InvalidRequest, ArrivedRequest> =>
  parseServicePath(received.path).chain((path) =>
    findPool(document, path.pool).chain((pool) =>
      toArrivedRequest(pool, path, received, parameters),
    ),
  );
