import type { Route } from '../configuration/route.js';

/** Whether the route's responses are event streams. */
export const isStream = ({ kind }: Route): boolean =>
  kind === 'stream' || kind === 'resumableStream';
