import type { Map } from 'immutable';
import { getQuarantineKey } from './getQuarantineKey.js';
import type { Quarantine } from './quarantine.js';

const MAX_QUARANTINES = 64;

const includesAll = (parts: readonly string[], others: readonly string[]): boolean =>
  others.every((part) => parts.includes(part));

/** Drops the quarantine that is suspected for the longest time, but not the one that was just added. */
const dropOldest = (
  quarantines: Map<string, Quarantine>,
  addedKey: string,
): Map<string, Quarantine> => {
  if (quarantines.size <= MAX_QUARANTINES) {
    return quarantines;
  }
  const [oldestKey] = [...quarantines.delete(addedKey)].reduce((oldest, next) =>
    next[1].suspectedSinceMs < oldest[1].suspectedSinceMs ? next : oldest,
  );
  return quarantines.delete(oldestKey);
};

/**
 * Adds a quarantine, or replaces an older decision about the same parts. It takes the place of those that hold for
 * fewer requests; nothing changes if one already holds for more.
 */
export const addQuarantine = (
  quarantines: Map<string, Quarantine>,
  added: Quarantine,
): Map<string, Quarantine> => {
  const key = getQuarantineKey(added.parts);
  const known = quarantines.get(key);
  if (known !== undefined) {
    return known.suspectedSinceMs < added.suspectedSinceMs
      ? quarantines.set(key, added)
      : quarantines;
  }
  if (quarantines.some(({ parts }) => includesAll(added.parts, parts))) {
    return quarantines;
  }
  const others = quarantines.filterNot(({ parts }) => includesAll(parts, added.parts));
  return dropOldest(others.set(key, added), key);
};
