import type { TrackedRequest } from './trackedRequest.js';

/** True while the request has not been given to any target. */
export const isWaiting = ({ phase }: TrackedRequest): boolean =>
  phase.type === 'claiming' || phase.type === 'joining' || phase.type === 'waiting';
