import { AssertionError } from 'node:assert';
import { errors } from 'undici';

/** Messages of the client for an interim response with status 100 and for an upgrade; both have no code of their own. */
const UNEXPECTED_HEAD_MESSAGES: ReadonlySet<string> = new Set(['bad response', 'bad upgrade']);
const INVALID_HEAD_ERRORS = [
  errors.HTTPParserError,
  // The client reports any fault behind a Content-Length header as a body of another length.
  errors.ResponseContentLengthMismatchError,
  errors.HeadersOverflowError,
  AssertionError,
] as const;

/**
 * Whether an error that came before a final response head means that the bytes received are not a valid one. It must not
 * come from the end of the connection, at which the client reports an unfinished head in the same way.
 */
export const isInvalidHeadError = (error: Error): boolean =>
  INVALID_HEAD_ERRORS.some((type) => error instanceof type) ||
  (error instanceof errors.SocketError && UNEXPECTED_HEAD_MESSAGES.has(error.message));
