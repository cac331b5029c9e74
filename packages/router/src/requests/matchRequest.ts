import type { RequestMatch } from '@parsleyhall/routing';

/**
 * Returns which request a response names by its attempt id. A request without an id has a connection of its own, so that
 * a response without one is its own.
 */
export const matchRequest = (
  requestAttemptId: string | undefined,
  responseAttemptId: string | undefined,
): RequestMatch => {
  if (responseAttemptId === requestAttemptId) {
    return 'own';
  }
  return responseAttemptId === undefined ? 'none' : 'another';
};
