import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { closeHttp, listenHttp } from '@parsleyhall/common';
import { getAnswerBody } from '../history/getAnswerBody.js';
import type { RequestKind } from '../history/requestKind.js';
import type { TargetRun } from '../history/targetRun.js';
import { startPath } from './startPath.js';
import { watchServer } from './watchServer.js';
import type { SoakTarget } from './soakTarget.js';

const ID_HEADER = 'x-request-id';
const WORK_MS = 15;
const SLOW_WORK_MS = 900;
const EVENT_GAP_MS = 20;
const RESET_SHARE = 0.5;
const KINDS: Readonly<Record<string, RequestKind>> = {
  idempotent: 'idempotent',
  nonIdempotent: 'nonIdempotent',
  stream: 'stream',
};

const getKind = ({ url = '/' }: IncomingMessage): RequestKind =>
  KINDS[url.split('/')[1] ?? ''] ?? 'idempotent';

/** Starts a target that answers each request with a body that names it, and notes what it gets. */
export const startSoakTarget = async ({
  name,
  note,
  random,
}: {
  readonly name: string;
  readonly note: (run: TargetRun) => void;
  readonly random: () => number;
}): Promise<SoakTarget> => {
  let areResetsOn = false;
  let isSlow = false;

  const answer = async (
    response: ServerResponse,
    pieces: readonly string[],
    isCut: boolean,
  ): Promise<void> => {
    for (const piece of isCut ? pieces.slice(0, -1) : pieces) {
      response.write(piece);
      await sleep(EVENT_GAP_MS);
    }
    if (isCut) {
      response.destroy();
      return;
    }
    response.end();
  };

  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { remotePort } = request.socket;
    const id = String(request.headers[ID_HEADER]);
    const isFaulty = areResetsOn && random() < RESET_SHARE;
    note({
      id,
      target: name,
      earliestMs: Math.min(watch.getEarliestMs(request.socket), path.getEarliestMs(remotePort)),
      isFaulty: isFaulty || isSlow,
      isPathHarmed: path.isHarmed(),
    });
    await sleep(isSlow ? SLOW_WORK_MS : WORK_MS);
    if (isFaulty && random() < RESET_SHARE) {
      request.socket.resetAndDestroy();
      return;
    }
    const kind = getKind(request);
    const body = getAnswerBody(id, kind);
    const isStream = kind === 'stream';
    response.writeHead(200, {
      [ID_HEADER]: id,
      'content-type': isStream ? 'text/event-stream' : 'text/plain',
      ...(isStream ? {} : { 'content-length': String(body.length) }),
    });
    await answer(response, isStream ? body.split(/(?<=\n\n)/) : [body], isFaulty);
  };

  const server = createServer((request, response) => {
    request.resume();
    response.on('error', () => undefined);
    void serve(request, response);
  });
  const watch = watchServer(server);
  const path = await startPath(await listenHttp(server, { address: '127.0.0.1', port: 0 }));
  return {
    name,
    address: path.address,
    setResets: (areOn) => {
      areResetsOn = areOn;
    },
    setSlow: (isOn) => {
      isSlow = isOn;
    },
    setPath: path.setState,
    [Symbol.asyncDispose]: async () => {
      watch[Symbol.dispose]();
      await path[Symbol.asyncDispose]();
      await closeHttp(server);
    },
  };
};
