import { posix } from 'node:path';
import { Either, Left, Right } from 'purify-ts';
import type { InvalidRequest } from '../problems/invalidRequest.js';
import { createInvalidRequest } from '../problems/createInvalidRequest.js';
import type { ServicePath } from './servicePath.js';

const SERVICE_PATH = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

/** Splits a path below `/services` into the pool and the path on the target. */
export const parseServicePath = (path: string): Either<InvalidRequest, ServicePath> => {
  const [, pool = '', targetPath = '/', query = ''] = SERVICE_PATH.exec(path) ?? [];
  if (pool === '') {
    return Left(createInvalidRequest('unknownPath', 'Services are at /services/<pool>/<path>.'));
  }
  return Either.encase(() => decodeURIComponent(targetPath))
    .mapLeft(() => createInvalidRequest('malformedPath', 'An escape in the path is malformed.'))
    .chain<InvalidRequest, ServicePath>((decoded) =>
      Right({ pool, targetPath: targetPath + query, normalizedPath: posix.normalize(decoded) }),
    );
};
