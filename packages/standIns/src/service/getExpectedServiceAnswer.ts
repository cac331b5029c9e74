import { computeFingerprint } from '@parsleyhall/common';

interface ServiceCall {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly body: string;
}

/** The body, byte for byte, that the plain service stand-in answers to a call. */
export const getExpectedServiceAnswer = ({ method, path, body }: ServiceCall): string =>
  JSON.stringify({ method, path, body: computeFingerprint(body), bodyLength: body.length });
