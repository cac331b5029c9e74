import type { SharedLimit } from '@parsleyhall/routing';
import { isRecord } from './isRecord.js';

const isLimit = (value: unknown): value is SharedLimit =>
  isRecord(value) &&
  typeof value.target === 'string' &&
  typeof value.targetStart === 'string' &&
  Number.isFinite(value.ageMs) &&
  (value.perSecond === undefined || (typeof value.perSecond === 'number' && value.perSecond >= 0));

/** Parses the limits of targets in a digest; undefined if they are malformed. */
export const parseLimits = (value: unknown): readonly SharedLimit[] | undefined =>
  Array.isArray(value) && value.every(isLimit) ? value : undefined;
