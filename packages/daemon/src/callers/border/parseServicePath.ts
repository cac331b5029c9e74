import { posix } from 'node:path';
import { Either, Left, Right } from 'purify-ts';
import type { InvalidRequest } from '../problems/invalidRequest.js';
import { newInvalidRequest } from '../problems/newInvalidRequest.js';
import type { ServicePath } from './servicePath.js';

const PATTERN = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

/** Splits a path below `/services` into the pool and the path on the target. */
export const parseServicePath = (path: string): Either<InvalidRequest, ServicePath> => {
  const [, pool = '', targetPath = '/', query = ''] = PATTERN.exec(path) ?? [];
  if (pool === '') {
    return Left(newInvalidRequest('unknownPath', 'Services are at /services/<pool>/<path>.'));
  }
  return Either.encase(() => decodeURIComponent(targetPath))
    .mapLeft(() => newInvalidRequest('malformedPath', 'An escape in the path is malformed.'))
    .chain<InvalidRequest, ServicePath>((decoded) =>
      Right({ pool, targetPath: targetPath + query, plainPath: posix.normalize(decoded) }),
    );
};
