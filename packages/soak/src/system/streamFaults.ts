import type { PlantedFault } from './plantedFault.js';
import { writeLookAlike } from './writeLookAlike.js';

const REPLACED_INDEX = 2;

/** For each planted fault of resumable streams: returns the events with it, given the sound ones and the first one's number. */
export const STREAM_FAULTS: Readonly<
  Partial<
    Record<PlantedFault, (events: readonly string[], firstNumber: number) => readonly string[]>
  >
> = {
  eventBehindLast: (events, firstNumber) => [
    ...events,
    writeLookAlike(firstNumber + events.length),
  ],
  replacedEvent: (events, firstNumber) =>
    events.map((event, index) =>
      index === REPLACED_INDEX ? writeLookAlike(firstNumber + index) : event,
    ),
  earlyEnd: (events) => events.slice(0, -1),
};
