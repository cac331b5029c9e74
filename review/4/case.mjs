// A router that stops cuts a stream without a length in a way that looks like its regular end.
import { call, openConnection } from '../support/client.mjs';
import { hasTrouble, runCase, sleep, writeConfiguration } from '../support/system.mjs';
import { makeChunk, makeEvent, makeHead, startWorker } from '../support/worker.mjs';

const CLIENTS = 44;
const SLOTS = 24;
const EVENTS = 40;
const EVENT_GAP_MS = 300;
const SIGTERM_AFTER_MS = 1_000;
/** One answer in so many has no length, at one of the two workers. */
const ANSWERS_PER_UNFRAMED = 20;
const FIRST_UNFRAMED = 10;

await runCase(import.meta.url, async ({ store, startRouter, track, record }) => {
  /** Streams events in chunks; an answer without a length ends with its connection, in an orderly way. */
  const createRun = (mayBeUnframed) => {
    let answers = 0;
    return ({ request, socket, worker, attempt }) => {
      answers += 1;
      const isChunked = !mayBeUnframed || answers % ANSWERS_PER_UNFRAMED !== FIRST_UNFRAMED;
      record('answer begins', {
        worker: worker.id,
        attempt,
        framing: isChunked ? 'chunks' : 'none',
      });
      const headers = [
        'Content-Type: text/event-stream',
        ...(isChunked ? [] : ['Connection: close']),
      ];
      socket.write(makeHead(200, request, worker, { headers, isChunked }));
      let sent = 0;
      const timer = setInterval(() => {
        sent += 1;
        socket.write(isChunked ? makeChunk(makeEvent(sent)) : makeEvent(sent));
        if (sent === EVENTS) {
          clearInterval(timer);
          if (isChunked) {
            socket.write('0\r\n\r\n');
          } else {
            socket.end();
          }
        }
      }, EVENT_GAP_MS);
      socket.once('close', () => {
        clearInterval(timer);
      });
    };
  };

  const service = 'engines';
  track(
    await startWorker({ store, id: 'e-1', service, slots: SLOTS, record, run: createRun(true) }),
  );
  track(
    await startWorker({ store, id: 'e-2', service, slots: SLOTS, record, run: createRun(false) }),
  );
  const streaming = { kind: 'streaming', gapAimMs: 400, resumeStreams: false, timeoutMs: 15_000 };
  writeConfiguration(store, [{ name: 'dossier', pathPrefix: '/dossier/', service, ...streaming }]);
  const router = await startRouter(store);
  await sleep(500);

  const runClient = async (number) => {
    const socket = await openConnection(router.address);
    const answer = await call(socket, {
      method: 'POST',
      path: `/dossier/${number}`,
      attempt: `dossier-${number}`,
      deadlineMs: 15_000,
      body: 'x',
      record,
    });
    socket.destroy();
    return answer;
  };
  const clients = Promise.all(Array.from({ length: CLIENTS }, (_, index) => runClient(index + 1)));
  await sleep(SIGTERM_AFTER_MS);
  if (hasTrouble) {
    router.signal('SIGTERM');
  }
  const answers = await clients;
  const isRegularEnd = ({ ended, headers }) =>
    ended === 'complete' ||
    (ended === 'closed' && !headers.has('content-length') && !headers.has('transfer-encoding'));
  return answers
    .map((answer) => ({ ...answer, events: answer.body.split('\n\n').length - 1 }))
    .filter((answer) => answer.status === 200 && answer.events < EVENTS && isRegularEnd(answer))
    .map(
      ({ attempt, events }) =>
        `ORDER: ${attempt} ends as complete after piece ${events} of ${EVENTS}`,
    );
});
