import { toOptionalField } from '@parsleyhall/common';
import type {
  OutcomeCounts,
  RolloutOrder,
  RolloutReport,
  RolloutStatus,
  SharedRollouts,
} from '@parsleyhall/routing';
import { isRecord } from './isRecord.js';

const STAGES: ReadonlySet<unknown> = new Set([
  'exposing',
  'shifting',
  'leavingOld',
  'completed',
  'rolledBack',
]);

const isCount = (value: unknown): boolean =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;

const isStrings = (value: unknown): value is readonly string[] =>
  Array.isArray(value) && value.every((text) => typeof text === 'string');

const isOutcomeCounts = (value: unknown): value is OutcomeCounts =>
  isRecord(value) &&
  isCount(value.oldResponses) &&
  isCount(value.oldBad) &&
  isCount(value.newResponses) &&
  isCount(value.newBad);

const isOrder = (value: unknown): value is RolloutOrder =>
  isRecord(value) &&
  typeof value.id === 'string' &&
  typeof value.service === 'string' &&
  typeof value.version === 'string' &&
  isCount(value.era) &&
  Number.isFinite(value.durationMs);

const isStatus = (value: unknown): value is RolloutStatus =>
  isRecord(value) &&
  isOrder(value.order) &&
  STAGES.has(value.stage) &&
  isCount(value.step) &&
  Number.isFinite(value.startedWallMs) &&
  typeof value.writer === 'string' &&
  (value.rejectedVersion === undefined || typeof value.rejectedVersion === 'string') &&
  (value.oldVersions === undefined || isStrings(value.oldVersions)) &&
  (value.writtenEra === undefined || isCount(value.writtenEra)) &&
  typeof value.reason === 'string' &&
  isOutcomeCounts(value.counts);

const isReport = (value: unknown): value is RolloutReport =>
  isRecord(value) &&
  isStatus(value.status) &&
  Number.isFinite(value.ageMs) &&
  (value.isAgeObserved === undefined || typeof value.isAgeObserved === 'boolean') &&
  typeof value.isJudgedBad === 'boolean' &&
  isCount(value.oldInFlight) &&
  isRecord(value.outcomes) &&
  Object.values(value.outcomes).every(isOutcomeCounts);

/** Parses the part of a digest that is about roll-outs; undefined if it is malformed. */
export const parseRollouts = (value: unknown): SharedRollouts | undefined =>
  isRecord(value) &&
  typeof value.reachesStore === 'boolean' &&
  Array.isArray(value.reports) &&
  value.reports.every(isReport) &&
  (value.unheard === undefined || isStrings(value.unheard))
    ? {
        reachesStore: value.reachesStore,
        reports: value.reports,
        ...toOptionalField('unheard', value.unheard),
      }
    : undefined;
