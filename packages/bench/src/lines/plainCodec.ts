import type { IncomingHttpHeaders } from 'node:http';
import type { CallCodec } from '@parsleyhall/router';

const ATTEMPT = 'x-request-id';

const readAttempt = (headers: IncomingHttpHeaders): { readonly attemptId?: string } => {
  const attemptId = headers[ATTEMPT];
  return typeof attemptId === 'string' ? { attemptId } : {};
};

/** Calls without keys, deadlines or signatures; every answer counts as the target's own. */
export const plainCodec: CallCodec = {
  ownHeaders: new Set(),
  readCall: readAttempt,
  writeCall: () => [],
  readAnswer: (_, headers) => ({ ...readAttempt(headers), isSealed: true, isNotRun: false }),
};
