const CONNECT_TIMEOUT = 'UND_ERR_CONNECT_TIMEOUT';

const isConnectError = (error: unknown): boolean => {
  if (typeof error !== 'object' || error === null) {
    return false;
  }
  return (
    Reflect.get(error, 'syscall') === 'connect' || Reflect.get(error, 'code') === CONNECT_TIMEOUT
  );
};

/** Returns true only when no connection was made for a call, so that no byte of it can have been sent. */
export const isConnectFailure = (error: unknown): boolean =>
  error instanceof AggregateError && error.errors.length > 0
    ? error.errors.every(isConnectError)
    : isConnectError(error);
