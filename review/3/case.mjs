// While a router stops, requests on kept connections are read, passed on and run, and never answered.
import { call, openConnection } from '../support/client.mjs';
import { startLink } from '../support/link.mjs';
import { hasTrouble, runCase, sleep, writeConfiguration } from '../support/system.mjs';
import { makeChunk, makeEvent, makeHead, startWorker } from '../support/worker.mjs';

const CLIENTS = 16;
const EVENTS = 15;
const EVENT_GAP_MS = 100;
const WORK_MS = 40;
const SIGTERM_AFTER_MS = 500;
/** The sheet's way between clients and machines. */
const LINK_MS = 3;
const BODY = 'filed';

await runCase(import.meta.url, async ({ store, startRouter, track, record }) => {
  const runs = new Set();

  const stream = ({ request, socket, worker }) => {
    socket.write(
      makeHead(200, request, worker, {
        isChunked: true,
        headers: ['Content-Type: text/event-stream'],
      }),
    );
    let sent = 0;
    const timer = setInterval(() => {
      sent += 1;
      socket.write(makeChunk(makeEvent(sent)));
      if (sent === EVENTS) {
        clearInterval(timer);
        socket.write('0\r\n\r\n');
      }
    }, EVENT_GAP_MS);
    socket.once('close', () => {
      clearInterval(timer);
    });
  };
  const file = ({ request, socket, worker, attempt }) => {
    runs.add(attempt);
    setTimeout(() => {
      record('answers', { worker: worker.id, attempt });
      socket.write(makeHead(200, request, worker, { length: BODY.length }) + BODY);
    }, WORK_MS);
  };

  const engines = 'engines';
  const register = 'register';
  for (const id of ['e-1', 'e-2']) {
    track(await startWorker({ store, id, service: engines, record, run: stream }));
  }
  for (const id of ['r-1', 'r-2']) {
    track(await startWorker({ store, id, service: register, record, run: file }));
  }
  const streaming = { kind: 'streaming', gapAimMs: 400, resumeStreams: false, timeoutMs: 12_000 };
  writeConfiguration(store, [
    { name: 'query', pathPrefix: '/query/', service: engines, ...streaming },
    {
      name: 'note',
      kind: 'non_idempotent',
      pathPrefix: '/note/',
      timeoutMs: 2_500,
      service: register,
    },
  ]);
  const router = await startRouter(store);
  const link = track(await startLink(router.address, LINK_MS));
  await sleep(500);

  const note = (socket, attempt) =>
    call(socket, {
      method: 'POST',
      path: `/note/${attempt}`,
      attempt,
      deadlineMs: 2_500,
      body: 'x',
      record,
    });

  /** A client with three requests to make on one connection: it sends each when the one before is answered. */
  const runClient = async (number) => {
    const socket = await openConnection(link.address);
    await note(socket, `first-${number}`);
    let last;
    await call(socket, {
      method: 'POST',
      path: `/query/${number}`,
      attempt: `query-${number}`,
      deadlineMs: 12_000,
      body: 'x',
      record,
      onEnd: ({ ended, headers }) => {
        if (ended === 'complete' && headers.get('connection') !== 'close') {
          last = note(socket, `last-${number}`);
        }
      },
    });
    const answer = await last;
    socket.destroy();
    return answer;
  };

  const clients = Promise.all(Array.from({ length: CLIENTS }, (_, index) => runClient(index + 1)));
  await sleep(SIGTERM_AFTER_MS);
  if (hasTrouble) {
    router.signal('SIGTERM');
  }
  const results = await clients;
  if (hasTrouble) {
    await router.exited;
  }
  return results
    .filter((answer) => answer !== undefined && answer.ended !== 'complete')
    .filter(({ attempt }) => runs.has(attempt))
    .map(
      ({ attempt, ended }) =>
        `LOST: ${attempt} was passed on and run; its client saw no answer (${ended})`,
    );
});
