import { computeFingerprint } from '@parsleyhall/common';

/** Creates a repeatable source of whole numbers from 0 up to a bound. */
export const createDelays = (seed: number): ((bound: number) => number) => {
  let count = 0;
  return (bound) => {
    count += 1;
    return computeFingerprint(`${seed}/${count}`) % bound;
  };
};
