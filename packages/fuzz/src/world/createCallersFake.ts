import type { RequestId, TeamName } from '@parsleyhall/common';
import type { ArrivedRequest, EntryEvent } from '@parsleyhall/entry';
import type { Arrival } from '../schedule/arrival.js';
import type { CallersFake } from './callersFake.js';
import type { History } from './history.js';
import { newKey } from './newKey.js';
import type { ProcessShell } from './processShell.js';
import type { Simulation } from './simulation.js';
import { WORLD_SETTINGS } from './worldSettings.js';

const TOKENS_PER_CHUNK = 4;

const newRequest = ({
  arrival,
  requestId,
  operation,
  chunks,
  key,
  nowMs,
}: {
  readonly arrival: Arrival;
  readonly requestId: RequestId;
  readonly operation: string;
  readonly chunks: number;
  readonly key: string | undefined;
  readonly nowMs: number;
}): ArrivedRequest => {
  const isEngine = arrival.kind === 'engine';
  return {
    requestId,
    team: ((arrival.keyed ?? arrival.team) % 2 === 0 ? 'registry' : 'schools') as TeamName,
    tier: arrival.tier,
    pool: isEngine ? WORLD_SETTINGS.enginePool : WORLD_SETTINGS.servicePool,
    model: isEngine ? WORLD_SETTINGS.model : '',
    kind: operation.startsWith('operation-k') ? 'note' : 'query',
    deadlineMs: nowMs + arrival.deadlineMs,
    prefillTokens: TOKENS_PER_CHUNK,
    decodeTokens: chunks * TOKENS_PER_CHUNK,
    prefixFingerprints: [],
    call: {
      method: 'POST',
      path: key === undefined ? '/v1/completions' : '/notes',
      headers: key === undefined ? {} : { 'idempotency-key': key },
      body: new TextEncoder().encode(`${operation} ${chunks}`),
      isStreaming: isEngine,
    },
    ...(key === undefined ? {} : { idempotencyKey: key }),
  };
};

/** Creates the callers; the balancer tries another entry when one is not ready. */
export const createCallersFake = ({
  simulation,
  entries,
  isReady,
  record,
}: {
  readonly simulation: Simulation;
  readonly entries: readonly ProcessShell<EntryEvent>[];
  readonly isReady: (entry: ProcessShell<EntryEvent>) => boolean;
  readonly record: (fact: History['facts'][number]) => void;
}): CallersFake => {
  const keys = new Map<number, string>();
  let sent = 0;
  const getKey = (keyed: number): string => {
    const madeAtMs = WORLD_SETTINGS.wallClockAtStartMs + simulation.getNowMs();
    const key = keys.get(keyed) ?? newKey(madeAtMs, keyed);
    keys.set(keyed, key);
    return key;
  };
  const findEntry = (first: number): ProcessShell<EntryEvent> | undefined =>
    [...entries.slice(first), ...entries.slice(0, first)].find(isReady);
  return {
    send: (arrival) => {
      const entry = findEntry(arrival.entry);
      const life = entry?.getLife();
      if (entry === undefined || life === undefined) {
        return;
      }
      sent += 1;
      const atMs = simulation.getNowMs();
      const { keyed } = arrival;
      const key = keyed === undefined ? undefined : getKey(keyed);
      const operation = keyed === undefined ? `operation-${sent}` : `operation-k${keyed}`;
      const chunks = keyed === undefined ? arrival.chunks : 2 + keyed;
      const requestId = `${life.incarnation}/${sent}` as RequestId;
      record({
        type: 'requestArrived',
        atMs,
        requestId,
        operation,
        entry: entry.name,
        pool: arrival.kind === 'engine' ? WORLD_SETTINGS.enginePool : WORLD_SETTINGS.servicePool,
        tier: arrival.tier,
        chunks,
        deadlineAtMs: atMs + arrival.deadlineMs,
        idempotencyKey: key,
      });
      life.deliver((clock) => ({
        ...clock,
        type: 'requestArrived',
        request: newRequest({
          arrival,
          requestId,
          operation,
          chunks,
          key,
          nowMs: clock.nowMs,
        }),
      }));
      if (arrival.hangsUpAfterMs !== undefined) {
        simulation.schedule(arrival.hangsUpAfterMs, () => {
          record({ type: 'callerHungUp', atMs: simulation.getNowMs(), requestId });
          life.deliver((clock) => ({ ...clock, type: 'callerHungUp', requestId }));
        });
      }
    },
  };
};
