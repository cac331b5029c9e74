import type { Dispatcher } from 'undici';
import type { RawHeaders } from '../requests/rawHeaders.js';

/** Returns the names and values of a response's headers as they were received, in turn. */
export const readRawHeaders = (controller: Dispatcher.DispatchController): RawHeaders => {
  const rawHeaders: readonly (Buffer | string)[] = Array.isArray(controller.rawHeaders)
    ? controller.rawHeaders
    : [];
  return rawHeaders.map((value) => (typeof value === 'string' ? value : value.toString('latin1')));
};
