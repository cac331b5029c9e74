import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { closeHttp, listenHttp } from '@parsleyhall/common';
import { createResponseBody } from '../history/createResponseBody.js';
import type { Crash } from '../history/crash.js';
import type { RequestKind } from '../history/requestKind.js';
import type { TargetRun } from '../history/targetRun.js';
import { isStream } from '../history/isStream.js';
import { startFaultProxy } from './startFaultProxy.js';
import type { AnswerFault } from './answerFault.js';
import { getNowMs } from './getNowMs.js';
import { monitorServerReads } from './monitorServerReads.js';
import { planResponse } from './planResponse.js';
import type { PlantedFault } from './plantedFault.js';
import type { SoakTarget } from './soakTarget.js';
import { writeInvalidStatus } from './writeInvalidStatus.js';
import { writeResponse } from './writeResponse.js';

const ID_HEADER = 'x-request-id';
const PROMPT_PARTS_HEADER = 'x-prompt-parts';
const LAST_EVENT_ID_HEADER = 'last-event-id';
const LIMIT_HEADER = 'x-limit-per-second';
const RESTART_MS = 600;
const SERVICE_TIME_MS = 15;
const SLOW_SERVICE_TIME_MS = 900;
const RESET_SHARE = 0.5;
const ANSWER_FAULT_SHARE = 0.5;
const KIND_BY_ROUTE: Readonly<Record<string, RequestKind>> = {
  idempotent: 'idempotent',
  nonIdempotent: 'nonIdempotent',
  stream: 'stream',
  resumableStream: 'resumableStream',
};

const getRequestKind = ({ url = '/' }: IncomingMessage): RequestKind =>
  KIND_BY_ROUTE[url.split('/')[1] ?? ''] ?? 'idempotent';

/** Starts a target that responds to each request with a body made of its id, and records the requests that arrive. */
export const startSoakTarget = async ({
  name,
  recordRun,
  recordCrash,
  statesLimits,
  plantedFault,
  random,
}: {
  readonly name: string;
  readonly recordRun: (run: TargetRun) => void;
  readonly recordCrash: (crash: Crash) => void;
  /** Whether its responses state the limit. */
  readonly statesLimits: boolean;
  readonly plantedFault: PlantedFault | undefined;
  readonly random: () => number;
}): Promise<SoakTarget> => {
  const poisonParts = new Set<string>();
  let limit: TargetRun['limit'];
  let isResetting = false;
  let isSlow = false;
  let answerFault: AnswerFault | undefined;

  /** Ends all connections and accepts none until it has started again. */
  const crash = async (part: string): Promise<void> => {
    recordCrash({ part, target: name, atMs: getNowMs() });
    proxy.setState('reset');
    await sleep(RESTART_MS);
    proxy.setState('open');
  };

  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { remotePort } = request.socket;
    const id = String(request.headers[ID_HEADER]);
    const promptParts = String(request.headers[PROMPT_PARTS_HEADER] ?? '')
      .split(',')
      .filter((part) => part !== '');
    const isFaulty = isResetting && random() < RESET_SHARE;
    const fault = random() < ANSWER_FAULT_SHARE ? answerFault : undefined;
    const kind = getRequestKind(request);
    const { response: planned, bodyWithLookAlike } = planResponse({
      id,
      kind,
      lastEventId: Number(request.headers[LAST_EVENT_ID_HEADER] ?? 0),
      isCut: isFaulty,
      fault,
      plantedFault,
      random,
    });
    recordRun({
      id,
      target: name,
      earliestMs: Math.min(
        readMonitor.getEarliestArrivalAtMs(request.socket),
        proxy.getEarliestArrivalAtMs(remotePort),
      ),
      promptParts,
      ...(limit === undefined ? {} : { limit }),
      isFaulty: isFaulty || isSlow || fault !== undefined,
      ...(bodyWithLookAlike === undefined ? {} : { bodyWithLookAlike }),
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
    if (fault === 'invalidStatus') {
      writeInvalidStatus(request.socket, `${ID_HEADER}: ${id}`, random);
      return;
    }
    const { isFramed, contentType } = planned;
    response.useChunkedEncodingByDefault = isFramed;
    response.shouldKeepAlive &&= isFramed;
    response.writeHead(200, {
      [ID_HEADER]: id,
      ...(limit === undefined || !statesLimits ? {} : { [LIMIT_HEADER]: String(limit.perSecond) }),
      ...(contentType === undefined ? {} : { 'content-type': contentType }),
      ...(isStream(kind) || !isFramed
        ? {}
        : { 'content-length': String(createResponseBody(id, kind).length) }),
    });
    await writeResponse(response, planned);
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
    setAnswerFault: (fault) => {
      answerFault = fault;
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
