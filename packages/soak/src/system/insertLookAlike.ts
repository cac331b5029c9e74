import { createEvents } from '../history/createEvents.js';
import type { TargetRun } from '../history/targetRun.js';
import type { TargetResponse } from './targetResponse.js';
import { writeLookAlike } from './writeLookAlike.js';

interface LookAlikeResponse extends Required<Pick<TargetRun, 'bodyWithLookAlike'>> {
  readonly response: TargetResponse;
}

/**
 * Inserts an event that looks like the next one before that, at the beginning of a stream or in its middle; undefined if
 * there is no next one. The sound event follows at once, since nothing tells the two apart if it never arrives.
 */
export const insertLookAlike = (
  sound: TargetResponse,
  {
    id,
    firstNumber,
    random,
  }: { readonly id: string; readonly firstNumber: number; readonly random: () => number },
): LookAlikeResponse | undefined => {
  const { chunks } = sound;
  const eventsBefore = random() < 1 / 2 ? 0 : Math.floor(chunks.length / 2);
  if (chunks.length === 0) {
    return undefined;
  }
  const number = firstNumber + eventsBefore;
  const lookAlike = writeLookAlike(number);
  return {
    response: {
      ...sound,
      chunks: [...chunks.slice(0, eventsBefore), lookAlike, ...chunks.slice(eventsBefore)],
      intervalMs: 0,
    },
    bodyWithLookAlike: [...createEvents(id).slice(0, number - 1), lookAlike].join(''),
  };
};
