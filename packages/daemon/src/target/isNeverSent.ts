const CONNECT_TIMEOUT = 'UND_ERR_CONNECT_TIMEOUT';

const hasNeverSent = (error: unknown): boolean => {
  if (typeof error !== 'object' || error === null) {
    return false;
  }
  return (
    Reflect.get(error, 'syscall') === 'connect' || Reflect.get(error, 'code') === CONNECT_TIMEOUT
  );
};

/** True only when no connection was made for a call, so that no byte of it can have been sent. */
export const isNeverSent = (error: unknown): boolean =>
  error instanceof AggregateError && error.errors.length > 0
    ? error.errors.every(hasNeverSent)
    : hasNeverSent(error);
