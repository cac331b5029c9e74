import { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';
import type { ResponseFault, SendFailure } from '@parsleyhall/routing';
import type { StoredBody } from '../memory/storedBody.js';
import type { ResponseSink } from './responseSink.js';
import type { Exchange } from './exchange.js';
import { hasConnectionClose } from './hasConnectionClose.js';
import { hasFramingHeaders } from './hasFramingHeaders.js';
import { hasNoBody } from './hasNoBody.js';
import { createConnectionPool } from './createConnectionPool.js';
import { getStatusKind } from './getStatusKind.js';
import { isInvalidHeadError } from './isInvalidHeadError.js';
import { readRawHeaders } from './readRawHeaders.js';
import type { TargetRequest } from './targetRequest.js';
import type { TargetClient } from './targetClient.js';

const toError = (error: unknown): Error =>
  error instanceof Error ? error : new Error(String(error));

/** Large bodies are written part by part, so that they need not be joined. */
const toRequestBody = ({ length, whole, copyParts }: StoredBody): Buffer | Readable | null =>
  length === 0 ? null : (whole ?? Readable.from(copyParts()));

/** The client knows the length of a body that it gets whole. */
const writeLength = ({ length, whole }: StoredBody): readonly string[] =>
  whole === undefined ? ['Content-Length', String(length)] : [];

/** Creates a client that prefers the idle connection that was used last. */
export const createTargetClient = (): TargetClient => {
  const pool = createConnectionPool();

  const send = (
    {
      address,
      method,
      path,
      headers,
      body,
      needsOwnConnection,
      recordFirstByteSent,
    }: TargetRequest,
    sink: ResponseSink,
  ): Exchange => {
    const idle = needsOwnConnection ? undefined : pool.takeIdle(address);
    const connection = idle ?? pool.open(address);
    const requestBody = toRequestBody(body);
    let controller: Dispatcher.DispatchController | undefined;
    let hasStarted = false;
    let isFinished = false;
    let canReuseConnection = true;
    let hasFraming = true;
    let hasFinalHead = false;
    /** The head of the response came before the whole request had been written. */
    let isEarly = false;
    /** Part of the request was unwritten when the latest bytes of the response came. */
    let isBeingWritten = false;

    const hasUnsentBytes = (): boolean =>
      connection.hasUnsentBytes() ||
      (requestBody instanceof Readable && !requestBody.readableEnded);

    const failAs = (failure: SendFailure, error: Error, fault?: ResponseFault): void => {
      if (isFinished) {
        return;
      }
      isFinished = true;
      pool.destroy(connection);
      sink.handleFailure(failure, error, fault);
    };

    const fail = (error: Error): void => {
      const isWithinHead = hasStarted && !hasFinalHead && !connection.hasTargetEnded();
      if (isWithinHead && isInvalidHeadError(error)) {
        failAs('malformed', error, { responseFault: 'invalidHead' });
        return;
      }
      failAs(hasStarted ? 'broken' : 'neverSent', error);
    };

    const complete = (): void => {
      if (isFinished) {
        return;
      }
      isFinished = true;
      if (canReuseConnection) {
        pool.release(address, connection);
      } else {
        pool.destroy(connection);
      }
      sink.handleEnd();
    };

    const handleResponseEnd = (): void => {
      if (hasFraming) {
        complete();
        return;
      }
      // A target that closes the connection instead of reading the rest of a request causes a reset as well. Once the
      // request has been written, a reset is evidence of a crash.
      if (isEarly && (isBeingWritten || !connection.hasNoticedReset())) {
        const error = new Error(
          'a response without Content-Length or Transfer-Encoding began before its request had been written',
        );
        failAs('malformed', error, { responseFault: 'unframedEarly' });
        return;
      }
      connection.checkReset((wasReset) => {
        if (wasReset) {
          fail(
            new Error(
              'the connection was reset before the end of a response without Content-Length or Transfer-Encoding',
            ),
          );
          return;
        }
        complete();
      });
    };

    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: (startedController) => {
        controller = startedController;
        hasStarted = true;
        recordFirstByteSent();
      },
      onResponseStart: (startedController, status, responseHeaders) => {
        if (isFinished) {
          return;
        }
        const kind = getStatusKind(status);
        if (kind === 'invalid') {
          const error = new Error(`the target sent the invalid status ${status}`);
          isFinished = true;
          // Once such a response is complete, the client fails an assertion about its status. The exchange is aborted first,
          // so that this cannot happen even if the sink throws.
          startedController.abort(error);
          pool.destroy(connection);
          sink.handleFailure('malformed', error, { responseFault: 'invalidStatus' });
          return;
        }
        if (kind === 'interim') {
          return;
        }
        hasFinalHead = true;
        connection.recordProgress();
        const hasHeaders = hasFramingHeaders(responseHeaders);
        hasFraming = hasHeaders || hasNoBody(method, status);
        isEarly = hasUnsentBytes();
        isBeingWritten = isEarly;
        canReuseConnection =
          hasHeaders && !isEarly && !needsOwnConnection && !hasConnectionClose(responseHeaders);
        sink.handleHead(status, responseHeaders, readRawHeaders(startedController));
      },
      onResponseData: (startedController, chunk) => {
        connection.recordProgress();
        isBeingWritten &&= hasUnsentBytes();
        if (!isFinished && !sink.handleBytes(chunk)) {
          startedController.pause();
        }
      },
      onResponseEnd: handleResponseEnd,
      onResponseError: (_, error) => {
        fail(error);
      },
    };

    try {
      connection.client.dispatch(
        {
          path,
          method: method,
          headers: [...headers, ...writeLength(body)],
          body: requestBody,
        },
        handler,
      );
    } catch (error) {
      queueMicrotask(() => {
        fail(toError(error));
      });
    }

    return {
      isConnectionNew: idle === undefined,
      cancel: () => {
        if (isFinished) {
          return;
        }
        isFinished = true;
        pool.destroy(connection);
        sink.handleCancel();
      },
      resume: () => {
        controller?.resume();
      },
    };
  };

  return {
    send,
    [Symbol.asyncDispose]: () => pool[Symbol.asyncDispose](),
  };
};
