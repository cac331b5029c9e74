import type { RequestId, SideId } from '@parsleyhall/common';
import { getAnswerChunk } from './getAnswerChunk.js';
import type { History } from './history.js';
import type { Simulation } from './simulation.js';
import type { TargetFake } from './targetFake.js';

type AnswerSink = Parameters<TargetFake['call']>[0]['sink'];

interface Run {
  readonly operation: string;
  readonly chunks: number;
  made: string;
  madeChunks: number;
  isActive: boolean;
  sink: AnswerSink | undefined;
}

const PREFILL_MS = 25;
const CHUNK_MS = 20;
const BATCH_SLOWDOWN = 0.1;

/** Creates a target. An engine remembers its streams by request id and resumes them; a service cannot tell. */
export const createTargetFake = ({
  simulation,
  kind,
  side,
  record,
}: {
  readonly simulation: Simulation;
  readonly kind: 'engine' | 'service';
  readonly side: SideId;
  readonly record: (fact: History['facts'][number]) => void;
}): TargetFake => {
  const runs = new Map<RequestId, Run>();
  let deadUntilMs = 0;
  let stalledUntilMs = 0;
  let slowUntilMs = 0;
  let factor = 1;
  const getRunning = (): number => [...runs.values()].filter(({ isActive }) => isActive).length;
  const isDead = (): boolean => simulation.getNowMs() < deadUntilMs;
  const getStepMs = (baseMs: number): number =>
    baseMs *
    (1 + BATCH_SLOWDOWN * getRunning()) *
    (simulation.getNowMs() < slowUntilMs ? factor : 1);
  const endRun = (
    requestId: RequestId,
    run: Run,
    outcome: 'whole' | 'cancelled' | 'lost',
  ): void => {
    run.isActive = false;
    record({ type: 'runEnded', atMs: simulation.getNowMs(), requestId, side, outcome });
  };
  const advance = (requestId: RequestId, run: Run): void => {
    if (!run.isActive) {
      return;
    }
    const stalledForMs = stalledUntilMs - simulation.getNowMs();
    if (stalledForMs > 0) {
      simulation.schedule(stalledForMs, () => {
        advance(requestId, run);
      });
      return;
    }
    if (run.madeChunks === 0) {
      run.sink?.onHead(200, { 'content-type': 'text/plain' });
    }
    const chunk = getAnswerChunk(run.operation, run.madeChunks);
    run.made += chunk;
    run.madeChunks += 1;
    run.sink?.onBytes(new TextEncoder().encode(chunk));
    if (run.madeChunks < run.chunks) {
      simulation.schedule(getStepMs(CHUNK_MS), () => {
        advance(requestId, run);
      });
      return;
    }
    endRun(requestId, run, 'whole');
    run.sink?.onEnd(run.chunks);
  };
  return {
    call: ({ requestId, incarnation, call, sink }) => {
      simulation.schedule(1, () => {
        if (isDead()) {
          sink.onFailed('notRun');
          return;
        }
        const [operation = '', chunks = '1'] = new TextDecoder().decode(call.body).split(' ');
        record({
          type: 'runStarted',
          atMs: simulation.getNowMs(),
          requestId,
          operation,
          idempotencyKey: call.headers['idempotency-key'],
          side,
          incarnation,
        });
        const run: Run = {
          operation,
          chunks: Number(chunks),
          made: '',
          madeChunks: 0,
          isActive: true,
          sink,
        };
        runs.set(requestId, run);
        simulation.schedule(getStepMs(PREFILL_MS), () => {
          advance(requestId, run);
        });
      });
    },
    resume: ({ requestId, fromByte, sink }) => {
      simulation.schedule(1, () => {
        const run = kind === 'engine' && !isDead() ? runs.get(requestId) : undefined;
        if (run === undefined) {
          sink.onUnknown();
          return;
        }
        run.sink = sink;
        if (run.madeChunks === 0) {
          return;
        }
        sink.onHead(200, { 'content-type': 'text/plain' });
        sink.onBytes(new TextEncoder().encode(run.made.slice(fromByte)));
        if (!run.isActive) {
          sink.onEnd(run.chunks);
        }
      });
    },
    cancel: (requestId) => {
      simulation.schedule(1, () => {
        const run = runs.get(requestId);
        if (run?.isActive === true) {
          run.sink = undefined;
          runs.delete(requestId);
          endRun(requestId, run, 'cancelled');
        }
      });
    },
    getRunning,
    slowDown: (forMs, chosen) => {
      slowUntilMs = simulation.getNowMs() + forMs;
      factor = chosen;
    },
    stall: (forMs) => {
      stalledUntilMs = Math.max(stalledUntilMs, simulation.getNowMs() + forMs);
    },
    die: (forMs) => {
      deadUntilMs = simulation.getNowMs() + forMs;
      for (const [requestId, run] of runs) {
        if (run.isActive) {
          endRun(requestId, run, 'lost');
          run.sink?.onFailed('unknown');
        }
      }
      runs.clear();
    },
  };
};
