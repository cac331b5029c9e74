import { randomUUID } from 'node:crypto';
import { readFile, writeFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';
import { setTimeout as delay } from 'node:timers/promises';
import { type Either, Left, Right } from 'purify-ts';
import { Agent } from 'undici';
import { z } from 'zod';
import {
  createHostListClient,
  createLogClient,
  type HttpResponse,
  type PlatformFailure,
  type ProcessStatus,
  processStatusSchema,
  requestJson,
} from '@parsleyhall/clients';
import type { OperatorEnvironment } from './operatorEnvironment.js';

const STATUS_TIMEOUT_MS = 2_000;

const getErrorMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

const parseStatusResponse = ({
  status,
  body,
}: HttpResponse): Either<PlatformFailure, ProcessStatus> => {
  if (status !== 200) {
    return Left({ type: 'unavailable', detail: `the process responded with status ${status}` });
  }
  const parsed = processStatusSchema.safeParse(body);
  return parsed.success
    ? Right(parsed.data)
    : Left({ type: 'malformed', detail: z.prettifyError(parsed.error) });
};

/** Creates the environment of a command that runs for real; disposing of it closes the connections to processes. */
export const createOperatorEnvironment = (
  stop: AbortSignal,
): OperatorEnvironment & AsyncDisposable => {
  const dispatcher = new Agent({ connect: { timeout: STATUS_TIMEOUT_MS } });
  return {
    openLog: (address) => createLogClient({ address }),
    openHostList: (address) => createHostListClient({ address }),
    getStatus: async (address) => {
      const response = await requestJson({
        dispatcher,
        method: 'GET',
        url: `http://${address}/status`,
        timeoutMs: STATUS_TIMEOUT_MS,
      });
      return response.chain(parseStatusResponse);
    },
    readFile: (file) =>
      readFile(file, 'utf8').then(Right, (error: unknown) =>
        Left({ type: 'fileUnreadable', file, detail: getErrorMessage(error) }),
      ),
    readInput: () =>
      text(process.stdin).then(Right, (error: unknown) =>
        Left({ type: 'fileUnreadable', file: 'standard input', detail: getErrorMessage(error) }),
      ),
    writeFile: (file, content) =>
      writeFile(file, content).then(
        () => Right(undefined),
        (error: unknown) => Left({ type: 'fileUnwritable', file, detail: getErrorMessage(error) }),
      ),
    print: (line) => {
      process.stdout.write(`${line}\n`);
    },
    printError: (line) => {
      process.stderr.write(`${line}\n`);
    },
    createPublicationId: randomUUID,
    getNowMs: Date.now,
    wait: (waitMs) => delay(waitMs, undefined, { signal: stop }).catch(() => undefined),
    isStopped: () => stop.aborted,
    [Symbol.asyncDispose]: () => dispatcher.destroy(),
  };
};
