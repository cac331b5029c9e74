import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type { AnswerSink } from './answerSink.js';
import type { Exchange } from './exchange.js';
import { openConnection } from './openConnection.js';
import type { TargetCall } from './targetCall.js';
import type { TargetCaller } from './targetCaller.js';
import type { TargetConnection } from './targetConnection.js';

const toError = (error: unknown): Error =>
  error instanceof Error ? error : new Error(String(error));

const isFramed = (headers: IncomingHttpHeaders): boolean =>
  headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;

const isClosing = (headers: IncomingHttpHeaders): boolean =>
  headers.connection?.toLowerCase().includes('close') ?? false;

const readRawHeaders = (controller: Dispatcher.DispatchController): readonly string[] => {
  const raw: readonly (Buffer | string)[] = Array.isArray(controller.rawHeaders)
    ? controller.rawHeaders
    : [];
  return raw.map((value) => (typeof value === 'string' ? value : value.toString('latin1')));
};

/** Creates a caller; the connection that was used last is used first. */
export const createTargetCaller = (): TargetCaller => {
  const idle = new Map<string, TargetConnection[]>();

  const discard = (connection: TargetConnection): void => {
    connection.client.destroy().catch(() => undefined);
  };

  const forget = (address: string, connection: TargetConnection): void => {
    const kept = (idle.get(address) ?? []).filter((one) => one !== connection);
    if (kept.length === 0) {
      idle.delete(address);
      return;
    }
    idle.set(address, kept);
  };

  const take = (address: string): TargetConnection => {
    const kept = idle.get(address)?.pop();
    if (kept !== undefined) {
      return kept;
    }
    const connection = openConnection(address);
    connection.client.on('disconnect', () => {
      forget(address, connection);
      discard(connection);
    });
    return connection;
  };

  const giveBack = (address: string, connection: TargetConnection): void => {
    const kept = idle.get(address) ?? [];
    kept.push(connection);
    idle.set(address, kept);
  };

  const call = (
    { address, method, path, headers, body, noteLeft }: TargetCall,
    sink: AnswerSink,
  ): Exchange => {
    const connection = take(address);
    let controller: Dispatcher.DispatchController | undefined;
    let hasLeft = false;
    let isOver = false;
    let mayKeep = true;
    let hasLength = true;

    const fail = (error: Error): void => {
      if (isOver) {
        return;
      }
      isOver = true;
      discard(connection);
      sink.takeFailure(hasLeft ? 'broken' : 'neverSent', error);
    };

    const complete = (): void => {
      if (isOver) {
        return;
      }
      isOver = true;
      if (mayKeep) {
        giveBack(address, connection);
      } else {
        discard(connection);
      }
      sink.takeEnd();
    };

    const finish = (): void => {
      if (hasLength) {
        complete();
        return;
      }
      connection.checkReset((wasReset) => {
        if (wasReset) {
          fail(new Error('the connection was reset before the end of an answer without a length'));
          return;
        }
        complete();
      });
    };

    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: (started) => {
        controller = started;
        hasLeft = true;
        noteLeft();
      },
      onResponseStart: (started, status, responseHeaders) => {
        if (isOver) {
          return;
        }
        connection.noteProgress();
        hasLength = isFramed(responseHeaders);
        mayKeep = hasLength && !isClosing(responseHeaders);
        sink.takeHead(status, responseHeaders, readRawHeaders(started), hasLength);
      },
      onResponseData: (started, chunk) => {
        connection.noteProgress();
        if (!isOver && !sink.takeBytes(chunk)) {
          started.pause();
        }
      },
      onResponseEnd: finish,
      onResponseError: (_, error) => {
        fail(error);
      },
    };

    try {
      connection.client.dispatch(
        {
          path,
          method: method,
          headers: [...headers],
          body: body.length === 0 ? null : body,
        },
        handler,
      );
    } catch (error) {
      queueMicrotask(() => {
        fail(toError(error));
      });
    }

    return {
      cancel: () => {
        if (isOver) {
          return;
        }
        isOver = true;
        discard(connection);
      },
      resume: () => {
        controller?.resume();
      },
    };
  };

  return {
    call,
    [Symbol.asyncDispose]: async () => {
      const connections = [...idle.values()].flat();
      idle.clear();
      await Promise.all(connections.map(({ client }) => client.destroy()));
    },
  };
};
