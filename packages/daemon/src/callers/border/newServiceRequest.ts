import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import type { ConfigurationDocument, Pool } from '@parsleyhall/configuration';
import type { ArrivedRequest } from '@parsleyhall/entry';
import type { InvalidRequest } from '../problems/invalidRequest.js';
import { newInvalidRequest } from '../problems/newInvalidRequest.js';
import type { CallerTerms } from './callerTerms.js';
import { parseServicePath } from './parseServicePath.js';
import type { ReceivedRequest } from './receivedRequest.js';
import { selectHeaders } from './selectHeaders.js';
import type { ServicePath } from './servicePath.js';

const FIRST_SEGMENT = /^\/[^/]*/;

const findPool = ({ pools }: ConfigurationDocument, name: string): Either<InvalidRequest, Pool> => {
  const pool = pools.find((candidate) => candidate.kind === 'service' && candidate.name === name);
  return pool === undefined
    ? Left(newInvalidRequest('unknownPool', 'No pool of services has this name.'))
    : Right(pool);
};

const isNonIdempotent = (pool: Pool, method: string, plainPath: string): boolean =>
  pool.nonIdempotentCalls.some(
    (call) =>
      call.method.toUpperCase() === method.toUpperCase() && plainPath.startsWith(call.pathPrefix),
  );

const toArrived = (
  pool: Pool,
  { targetPath, plainPath }: ServicePath,
  received: ReceivedRequest,
  terms: CallerTerms,
): Either<InvalidRequest, ArrivedRequest> => {
  const needsKey = isNonIdempotent(pool, received.method, plainPath);
  if (needsKey && terms.idempotencyKey === undefined) {
    const detail = `${received.method} ${plainPath} runs at most once and needs a key.`;
    return Left(newInvalidRequest('missingIdempotencyKey', detail));
  }
  return Right({
    requestId: received.requestId,
    team: terms.team,
    tier: terms.tier,
    pool: pool.name,
    model: '',
    kind: terms.kind ?? FIRST_SEGMENT.exec(plainPath)?.[0].slice(0, 128) ?? '/',
    deadlineMs: received.arrivedAtMs + terms.deadlineInMs,
    prefillTokens: 1,
    decodeTokens: 1,
    prefixFingerprints: [],
    call: {
      method: received.method,
      path: targetPath,
      headers: selectHeaders(received.headers),
      body: received.body,
      isStreaming: false,
    },
    ...(needsKey && terms.idempotencyKey !== undefined
      ? { idempotencyKey: terms.idempotencyKey }
      : {}),
  });
};

/** Makes a checked request of a call to a plain service. */
export const newServiceRequest = (
  received: ReceivedRequest,
  terms: CallerTerms,
  document: ConfigurationDocument,
): Either<InvalidRequest, ArrivedRequest> =>
  parseServicePath(received.path).chain((path) =>
    findPool(document, path.pool).chain((pool) => toArrived(pool, path, received, terms)),
  );
