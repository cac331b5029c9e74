import type { Route } from '../configuration/route.js';

/** Whether a request of the route may be run more than once. */
export const isRetrySafe = ({ kind }: Route): boolean =>
  kind === 'idempotent' || kind === 'resumableStream';
