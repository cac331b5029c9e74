import type { ResponseHead } from '../responseHead.js';

/**
 * Whether what a response states counts: it names the request that waits, or it names none and nothing else can have
 * caused it, since nothing was sent on its connection before.
 */
export const isBelieved = ({ requestMatch, isConnectionNew }: ResponseHead): boolean =>
  requestMatch === 'own' || (requestMatch === 'none' && isConnectionNew);
