import type { Route } from '../configuration/route.js';

/** Whether a request of the route may run again after it may have run. */
export const isRepeatable = ({ kind }: Route): boolean =>
  kind === 'idempotent' || kind === 'resumableStream';
