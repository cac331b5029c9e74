import { computeFingerprint } from '@parsleyhall/common';

/** The partition that holds a key. */
export const getKeyPartition = (key: string, partitions: number): number =>
  computeFingerprint(key) % partitions;
