import { isRecord } from './isRecord.js';

/** Parses an object whose values are all finite numbers; undefined if it is malformed. */
export const parseCounts = (value: unknown): Readonly<Record<string, number>> | undefined =>
  isRecord(value) && Object.values(value).every((count) => Number.isFinite(count))
    ? (value as Readonly<Record<string, number>>)
    : undefined;
