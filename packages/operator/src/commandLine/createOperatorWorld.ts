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
import type { OperatorWorld } from './operatorWorld.js';

const STATUS_TIMEOUT_MS = 2_000;

const getDetail = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

const parseStatus = ({ status, body }: HttpResponse): Either<PlatformFailure, ProcessStatus> => {
  if (status !== 200) {
    return Left({ type: 'unavailable', detail: `the process answered ${status}` });
  }
  const parsed = processStatusSchema.safeParse(body);
  return parsed.success
    ? Right(parsed.data)
    : Left({ type: 'malformed', detail: z.prettifyError(parsed.error) });
};

/** The world of a real command; disposing of it closes the connections to processes. */
export const createOperatorWorld = (stop: AbortSignal): OperatorWorld & AsyncDisposable => {
  const dispatcher = new Agent({ connect: { timeout: STATUS_TIMEOUT_MS } });
  return {
    openLog: (address) => createLogClient({ address }),
    openHostList: (address) => createHostListClient({ address }),
    getStatus: async (address) => {
      const answer = await requestJson({
        dispatcher,
        method: 'GET',
        url: `http://${address}/status`,
        timeoutMs: STATUS_TIMEOUT_MS,
      });
      return answer.chain(parseStatus);
    },
    readFile: (file) =>
      readFile(file, 'utf8').then(Right, (error: unknown) =>
        Left({ type: 'fileUnreadable', file, detail: getDetail(error) }),
      ),
    readInput: () =>
      text(process.stdin).then(Right, (error: unknown) =>
        Left({ type: 'fileUnreadable', file: 'standard input', detail: getDetail(error) }),
      ),
    writeFile: (file, written) =>
      writeFile(file, written).then(
        () => Right(undefined),
        (error: unknown) => Left({ type: 'fileUnwritable', file, detail: getDetail(error) }),
      ),
    print: (line) => {
      process.stdout.write(`${line}\n`);
    },
    printError: (line) => {
      process.stderr.write(`${line}\n`);
    },
    newPublicationId: randomUUID,
    getNowMs: Date.now,
    wait: (waitMs) => delay(waitMs, undefined, { signal: stop }).catch(() => undefined),
    isStopped: () => stop.aborted,
    [Symbol.asyncDispose]: () => dispatcher.destroy(),
  };
};
