import type { EventFormat } from './eventFormat.js';
import { parseEventNumber } from './parseEventNumber.js';

/** How an event continues what the caller has received, or why it can't. */
type EventPosition =
  'next' | 'repeated' | 'noNumber' | 'wrongStart' | 'numberSkipped' | 'numberTaken';

/**
 * Creates a function that places the events of one target's response, given their ids in turn. `getLastRelayedId` returns the
 * id of the last event that the caller has received; it is asked at the first event. Where events need no numbers, each one
 * after the first that has a number needs one.
 */
export const createEventOrder = (
  { isNumbered, firstNumber }: Pick<EventFormat, 'isNumbered' | 'firstNumber'>,
  getLastRelayedId: () => string | undefined,
): ((id: string | undefined) => EventPosition) => {
  let lastNumber: number | undefined;
  let lastRelayed: number | undefined;

  const isStart = (number: number): boolean => {
    // An id that no event has is as good as none.
    lastRelayed = parseEventNumber(getLastRelayedId(), firstNumber);
    const highestStart = lastRelayed === undefined ? firstNumber : lastRelayed + 1;
    // Where events need no numbers, nothing tells where a response begins.
    return !isNumbered || (number >= firstNumber && number <= highestStart);
  };

  const place = (number: number): EventPosition => {
    if (lastNumber === undefined && !isStart(number)) {
      return 'wrongStart';
    }
    if (lastNumber !== undefined && number !== lastNumber + 1) {
      return number > lastNumber ? 'numberSkipped' : 'numberTaken';
    }
    lastNumber = number;
    return lastRelayed !== undefined && number <= lastRelayed ? 'repeated' : 'next';
  };

  return (id) => {
    // A number below the first one is out of place, not missing.
    const number = parseEventNumber(id, 0);
    if (number === undefined) {
      return isNumbered || lastNumber !== undefined ? 'noNumber' : 'next';
    }
    return place(number);
  };
};
