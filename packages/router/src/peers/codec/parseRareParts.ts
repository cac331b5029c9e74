import type { RecentQuotas } from '@parsleyhall/routing';
import { isRecord } from '../isRecord.js';
import { RARE_PART_PARSERS } from './rarePartParsers.js';
import type { RareParts } from './rareParts.js';

const parseRecentQuotas = (value: unknown): RecentQuotas | undefined =>
  isRecord(value) &&
  Object.values(value).every((parts) => Array.isArray(parts) && parts.every(Number.isFinite))
    ? (value as RecentQuotas)
    : undefined;

const parseOptionalParts = (
  parts: Readonly<Record<string, unknown>>,
): Omit<RareParts, 'quotaRecent'> => {
  const parsed: Record<string, unknown> = {};
  Object.entries(RARE_PART_PARSERS).forEach(([name, parse]) => {
    if (parts[name] === undefined) {
      return;
    }
    const part = parse(parts[name]);
    if (part === undefined) {
      throw new RangeError(`${name} is malformed`);
    }
    parsed[name] = part;
  });
  return parsed;
};

/** Parses the JSON text of a digest's rare parts; throws if one of them is malformed. */
export const parseRareParts = (text: string): RareParts => {
  const parts: unknown = JSON.parse(text);
  if (!isRecord(parts)) {
    throw new RangeError('the rare parts of a digest are malformed');
  }
  const quotaRecent = parseRecentQuotas(parts.quotaRecent ?? {});
  if (quotaRecent === undefined) {
    throw new RangeError('quotaRecent is malformed');
  }
  return { quotaRecent, ...parseOptionalParts(parts) };
};
