import type { IncomingMessage } from 'node:http';
import { createByteCollector } from '../memory/createByteCollector.js';
import type { WaitingBody } from './waitingBody.js';

/**
 * Joins the parts of a body that arrive before its request is handled. The request would keep each of them as an object,
 * which takes far more memory than a part of a few bytes.
 */
export const collectWaitingBody = (request: IncomingMessage): WaitingBody => {
  const push = request.push.bind(request);
  const collector = createByteCollector();
  let hasEnded = false;

  request.push = (part: Buffer | null): boolean => {
    if (part === null) {
      hasEnded = true;
    } else {
      collector.add(part);
    }
    return true;
  };

  return {
    getCapacity: collector.getCapacity,
    deliver: () => {
      request.push = push;
      if (collector.getLength() > 0) {
        request.push(collector.take());
      }
      if (hasEnded) {
        request.push(null);
      }
    },
  };
};
