import type { ServerResponse } from 'node:http';
import type { Refusal } from '@parsleyhall/routing';
import { describeRefusal } from './describeRefusal.js';

/** Sends a refusal as the response. */
export const sendRefusal = (response: ServerResponse, refusal: Refusal): void => {
  const { status, headers, body } = describeRefusal(refusal);
  response.writeHead(status, headers);
  response.end(body);
};
