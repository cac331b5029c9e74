import type { PromptReport, SharedQuarantine } from '@parsleyhall/routing';
import { isRecord } from './isRecord.js';
import { parseCounts } from './parseCounts.js';

type Evidence = PromptReport['evidence'][number];

const isPartList = (value: unknown): value is readonly string[] =>
  Array.isArray(value) && value.length > 0 && value.every((part) => typeof part === 'string');

const isEvidence = (value: unknown): value is Evidence =>
  isRecord(value) &&
  typeof value.targetStart === 'string' &&
  Number.isFinite(value.ageMs) &&
  isPartList(value.parts);

const isQuarantine = (value: unknown): value is SharedQuarantine =>
  isRecord(value) &&
  isPartList(value.parts) &&
  Number.isFinite(value.ageMs) &&
  Number.isFinite(value.leftMs) &&
  Number.isFinite(value.holdMs);

/** Parses the part of a digest that is about prompt parts; undefined if it is malformed. */
export const parsePromptReport = (value: unknown): PromptReport | undefined => {
  if (!isRecord(value)) {
    return undefined;
  }
  const { evidence, quarantines } = value;
  const cleared = parseCounts(value.cleared);
  return cleared !== undefined &&
    Array.isArray(evidence) &&
    evidence.every(isEvidence) &&
    Array.isArray(quarantines) &&
    quarantines.every(isQuarantine)
    ? { evidence, cleared, quarantines }
    : undefined;
};
