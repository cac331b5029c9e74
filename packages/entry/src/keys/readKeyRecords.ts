import type { EntryEvent } from '../entryEvent.js';
import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { forEachRequest } from '../requests/forEachRequest.js';
import { forEachStep } from '../steps/forEachStep.js';
import { EMPTY_KEY_STATE } from './emptyKeyState.js';
import { evaluateClaim } from './evaluateClaim.js';
import { foldKeyRecord } from './foldKeyRecord.js';
import { getKeyTimeMs } from './getKeyTimeMs.js';
import type { KeyPartition } from './keyPartition.js';
import type { KeyRecord } from './keyRecord.js';
import { newKeyPartition } from './newKeyPartition.js';

type KeyRecordsRead = Extract<EntryEvent, { type: 'keyRecordsRead' }>;

const foldInto = (
  partition: KeyPartition,
  offset: number,
  record: KeyRecord,
  retentionMs: number,
): KeyPartition => {
  const known = partition.keys.get(record.key);
  const expiresAtMs = (getKeyTimeMs(record.key) ?? 0) + retentionMs;
  return {
    ...partition,
    keys: partition.keys.set(record.key, foldKeyRecord(known ?? EMPTY_KEY_STATE, offset, record)),
    expiries:
      known === undefined ? partition.expiries.with(expiresAtMs, record.key) : partition.expiries,
    nextOffset: offset + 1,
  };
};

const storePartition = (step: EntryStep, index: number, partition: KeyPartition): EntryStep => ({
  state: { ...step.state, partitions: step.state.partitions.set(index, partition) },
  effects: step.effects,
});

const readRecord = (
  scope: EntryScope,
  step: EntryStep,
  index: number,
  { offset, record }: KeyRecordsRead['records'][number],
): EntryStep => {
  const partition = step.state.partitions.get(index) ?? newKeyPartition();
  if (offset < partition.nextOffset) {
    return step;
  }
  const hasGap = partition.nextOffset > 0 && offset > partition.nextOffset;
  const trusted = hasGap
    ? { ...partition, trustedFromMs: scope.wallMs + scope.settings.clockToleranceMs }
    : partition;
  const folded = foldInto(trusted, offset, record, scope.settings.logRetentionMs);
  const waiters = folded.waiters.get(record.key) ?? [];
  return forEachRequest(storePartition(step, index, folded), waiters, (current, tracked) =>
    evaluateClaim(scope, current, tracked),
  );
};

/** Folds records of a key partition in log order and decides the claims that wait for them. */
export const readKeyRecords = (
  scope: EntryScope,
  step: EntryStep,
  event: KeyRecordsRead,
): EntryStep => {
  const read = forEachStep(step, event.records, (current, entry) =>
    readRecord(scope, current, event.partition, entry),
  );
  const partition = read.state.partitions.get(event.partition) ?? newKeyPartition();
  const nextOffset = Math.max(partition.nextOffset, event.nextOffset);
  return storePartition(read, event.partition, { ...partition, nextOffset });
};
