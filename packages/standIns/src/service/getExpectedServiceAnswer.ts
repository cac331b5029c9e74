import { computeFingerprint } from '@parsleyhall/common';

interface ServiceRequest {
  readonly method: string;
  /** Path including the query string. */
  readonly path: string;
  readonly body: string;
}

/** Returns the exact response body of the plain service stand-in for a request. */
export const getExpectedServiceAnswer = ({ method, path, body }: ServiceRequest): string =>
  JSON.stringify({ method, path, body: computeFingerprint(body), bodyLength: body.length });
