import { computeFingerprint } from '@parsleyhall/common';
import type { NameTable } from './nameTable.js';

/** A name is spelled out in its first frames, of which some may be lost. */
const FIRST_SPELLINGS = 5;
/** Later, a name is spelled out in one frame out of so many, for entries that lack it without knowing. */
const FRAMES_PER_SPELLING = 64;
/** Bounds the memory for names, which are also received. */
const MAX_NAMES = 8_192;
/** Leaves 28 bits, which take at most four bytes as a number of variable length. */
const DROPPED_HASH_BITS = 4;

/** Creates an empty table. A full table is emptied; its names are then spelled out and learned again. */
export const createNameTable = (): NameTable => {
  /** Undefined for a hash that more than one name has. */
  const namesByHash = new Map<number, string | undefined>();
  const hashesByName = new Map<string, number>();
  const spellings = new Map<string, number>();
  /** The latest frame in which a name was spelled out. */
  const spelledInFrame = new Map<string, number>();

  const clear = (): void => {
    namesByHash.clear();
    hashesByName.clear();
    spellings.clear();
    spelledInFrame.clear();
  };

  const add = (name: string): number => {
    const knownHash = hashesByName.get(name);
    if (knownHash !== undefined) {
      return knownHash;
    }
    if (hashesByName.size >= MAX_NAMES) {
      clear();
    }
    const hash = computeFingerprint(name) >>> DROPPED_HASH_BITS;
    hashesByName.set(name, hash);
    namesByHash.set(hash, namesByHash.has(hash) ? undefined : name);
    return hash;
  };

  const isSpellingDue = (name: string, hash: number, frameNumber: number): boolean => {
    if ((hash + frameNumber) % FRAMES_PER_SPELLING === 0) {
      return true;
    }
    const spelled = spellings.get(name) ?? 0;
    if (spelled >= FIRST_SPELLINGS) {
      return false;
    }
    spellings.set(name, spelled + 1);
    return true;
  };

  return {
    add,
    find: (hash) => namesByHash.get(hash),
    takeSpelling: (name, frameNumber) => {
      const hash = add(name);
      if (namesByHash.get(hash) !== name) {
        return true;
      }
      if (spelledInFrame.get(name) === frameNumber || !isSpellingDue(name, hash, frameNumber)) {
        return false;
      }
      spelledInFrame.set(name, frameNumber);
      return true;
    },
    spellAll: () => {
      spellings.clear();
    },
  };
};
