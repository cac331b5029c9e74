import type { Logger } from '../logging/logger.js';

const toDetail = (error: unknown): string =>
  error instanceof Error ? (error.stack ?? error.message) : String(error);

/**
 * Logs errors that nothing has handled instead of letting them end the process, which would cut the responses of all
 * callers.
 */
export const logUnexpectedErrors = (logger: Logger): Disposable => {
  const handleError = (error: unknown): void => {
    logger.write({ name: 'unexpectedError', fields: { detail: toDetail(error) } });
  };
  process.on('uncaughtException', handleError);
  process.on('unhandledRejection', handleError);
  return {
    [Symbol.dispose]: () => {
      process.removeListener('uncaughtException', handleError);
      process.removeListener('unhandledRejection', handleError);
    },
  };
};
