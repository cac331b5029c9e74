import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { closeHttp, listenHttp } from '@parsleyhall/common';
import { createResponseBody } from '../history/createResponseBody.js';
import type { Crash } from '../history/crash.js';
import type { RequestKind } from '../history/requestKind.js';
import type { TargetRun } from '../history/targetRun.js';
import { startFaultProxy } from './startFaultProxy.js';
import { getNowMs } from './getNowMs.js';
import { monitorServerReads } from './monitorServerReads.js';
import type { SoakTarget } from './soakTarget.js';

const ID_HEADER = 'x-request-id';
const PROMPT_PARTS_HEADER = 'x-prompt-parts';
const LIMIT_HEADER = 'x-limit-per-second';
const RESTART_MS = 600;
const SERVICE_TIME_MS = 15;
const SLOW_SERVICE_TIME_MS = 900;
const CHUNK_INTERVAL_MS = 20;
const RESET_SHARE = 0.5;
const KIND_BY_ROUTE: Readonly<Record<string, RequestKind>> = {
  idempotent: 'idempotent',
  nonIdempotent: 'nonIdempotent',
  stream: 'stream',
};

const getRequestKind = ({ url = '/' }: IncomingMessage): RequestKind =>
  KIND_BY_ROUTE[url.split('/')[1] ?? ''] ?? 'idempotent';

/** Starts a target that responds to each request with a body made of its id, and records the requests that arrive. */
export const startSoakTarget = async ({
  name,
  recordRun,
  recordCrash,
  statesLimits,
  random,
}: {
  readonly name: string;
  readonly recordRun: (run: TargetRun) => void;
  readonly recordCrash: (crash: Crash) => void;
  /** Whether its responses state the limit. */
  readonly statesLimits: boolean;
  readonly random: () => number;
}): Promise<SoakTarget> => {
  const poisonParts = new Set<string>();
  let limit: TargetRun['limit'];
  let isResetting = false;
  let isSlow = false;

  /** Ends all connections and accepts none until it has started again. */
  const crash = async (part: string): Promise<void> => {
    recordCrash({ part, target: name, atMs: getNowMs() });
    proxy.setState('reset');
    await sleep(RESTART_MS);
    proxy.setState('open');
  };

  const writeResponse = async (
    response: ServerResponse,
    chunks: readonly string[],
    isTruncated: boolean,
  ): Promise<void> => {
    for (const chunk of isTruncated ? chunks.slice(0, -1) : chunks) {
      response.write(chunk);
      await sleep(CHUNK_INTERVAL_MS);
    }
    if (isTruncated) {
      response.destroy();
      return;
    }
    response.end();
  };

  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { remotePort } = request.socket;
    const id = String(request.headers[ID_HEADER]);
    const promptParts = String(request.headers[PROMPT_PARTS_HEADER] ?? '')
      .split(',')
      .filter((part) => part !== '');
    const isFaulty = isResetting && random() < RESET_SHARE;
    recordRun({
      id,
      target: name,
      earliestMs: Math.min(
        readMonitor.getEarliestArrivalAtMs(request.socket),
        proxy.getEarliestArrivalAtMs(remotePort),
      ),
      promptParts,
      ...(limit === undefined ? {} : { limit }),
      isFaulty: isFaulty || isSlow,
      isPathHarmed: proxy.isImpaired(),
    });
    await sleep(isSlow ? SLOW_SERVICE_TIME_MS : SERVICE_TIME_MS);
    if (isFaulty && random() < RESET_SHARE) {
      request.socket.resetAndDestroy();
      return;
    }
    const poisonPart = promptParts.find((part) => poisonParts.has(part));
    if (poisonPart !== undefined) {
      await crash(poisonPart);
      return;
    }
    const kind = getRequestKind(request);
    const body = createResponseBody(id, kind);
    const isStream = kind === 'stream';
    response.writeHead(200, {
      [ID_HEADER]: id,
      ...(limit === undefined || !statesLimits ? {} : { [LIMIT_HEADER]: String(limit.perSecond) }),
      'content-type': isStream ? 'text/event-stream' : 'text/plain',
      ...(isStream ? {} : { 'content-length': String(body.length) }),
    });
    await writeResponse(response, isStream ? body.split(/(?<=\n\n)/) : [body], isFaulty);
  };

  const server = createServer((request, response) => {
    request.resume();
    response.on('error', () => undefined);
    void serve(request, response);
  });
  const readMonitor = monitorServerReads(server);
  const proxy = await startFaultProxy(await listenHttp(server, { address: '127.0.0.1', port: 0 }));
  return {
    name,
    address: proxy.address,
    setResetting: (isEnabled) => {
      isResetting = isEnabled;
    },
    setSlow: (isEnabled) => {
      isSlow = isEnabled;
    },
    setPoison: (part, isPoison) => {
      if (isPoison) {
        poisonParts.add(part);
      } else {
        poisonParts.delete(part);
      }
    },
    setLimit: (perSecond) => {
      limit = perSecond === undefined ? undefined : { perSecond, sinceMs: getNowMs() };
    },
    setProxyState: proxy.setState,
    [Symbol.asyncDispose]: async () => {
      readMonitor[Symbol.dispose]();
      await proxy[Symbol.asyncDispose]();
      await closeHttp(server);
    },
  };
};
