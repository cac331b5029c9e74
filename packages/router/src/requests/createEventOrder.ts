/** How an event continues what the caller has received. */
type EventPosition = 'next' | 'repeated' | 'outOfOrder';

const WHOLE_NUMBER = /^(?:0|[1-9]\d{0,14})$/;

const parseNumber = (id: string | undefined): number | undefined =>
  id !== undefined && WHOLE_NUMBER.test(id) ? Number(id) : undefined;

/**
 * Creates a function that places the events of one target's response, given their ids in turn. `isNumbered` tells that each
 * event has to have a number; otherwise each one after the first that has. `getLastRelayedId` returns the id of the last
 * event that the caller has received, from this target or from one before it.
 */
export const createEventOrder = (
  isNumbered: boolean,
  getLastRelayedId: () => string | undefined,
): ((id: string | undefined) => EventPosition) => {
  let lastNumber: number | undefined;

  return (id) => {
    const number = parseNumber(id);
    if (number === undefined) {
      return isNumbered || lastNumber !== undefined ? 'outOfOrder' : 'next';
    }
    const isConsecutive = lastNumber === undefined || number === lastNumber + 1;
    const lastRelayed = parseNumber(getLastRelayedId());
    lastNumber = number;
    if (!isConsecutive) {
      return 'outOfOrder';
    }
    if (lastRelayed === undefined || number === lastRelayed + 1) {
      return 'next';
    }
    return number <= lastRelayed ? 'repeated' : 'outOfOrder';
  };
};
