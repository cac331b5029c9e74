import type { TargetRequest } from '../targets/targetRequest.js';

const HEADER_SEPARATOR_BYTES = 2;

/** The bytes of a request's head and body, without the line ends of its first line. */
export const getRequestBytes = ({
  method,
  path,
  headers,
  body,
}: Pick<TargetRequest, 'method' | 'path' | 'headers' | 'body'>): number =>
  headers.reduce(
    (sum, { length }) => sum + length + HEADER_SEPARATOR_BYTES,
    method.length + path.length + body.length,
  );
