import { toOptionalField } from '@parsleyhall/common';
import { createEventOrder } from './createEventOrder.js';
import { createEventSplitter } from './createEventSplitter.js';
import type { EventFormat } from './eventFormat.js';
import { parseEventNumber } from './parseEventNumber.js';
import type { SplitBlock } from './splitBlock.js';
import type { StreamFault } from './streamFault.js';
import type { StreamReader } from './streamReader.js';

/** A stream with a longer event is treated as malformed. */
const MAX_EVENT_BYTES = 1_048_576;

type SoundBlock = Exclude<SplitBlock, { kind: 'malformed' }>;
type Fault = Omit<StreamFault, 'areEarlierInDoubt'>;

/** Whether the block is an event with this number or a higher one. */
const hasNumberFrom = (block: SoundBlock, number: number): boolean =>
  block.kind === 'event' && (parseEventNumber(block.id) ?? -1) >= number;

/**
 * Creates a reader of a new stream. `getLastRelayedId` returns the id of the last event that the caller has received from
 * another target, or undefined; it is asked at the first event.
 */
export const createStreamReader = (
  format: EventFormat,
  getLastRelayedId: () => string | undefined,
): StreamReader => {
  const splitter = createEventSplitter(format.extraFields);
  const placeEvent = createEventOrder(format, getLastRelayedId);
  /** The number of the last event of the reads before this one that was to be relayed. */
  let lastNumberReturned: number | undefined;

  /** Returns the fault of a block, or whether it is to be relayed. */
  const judge = (block: SplitBlock): Fault | boolean => {
    if (block.kind === 'comment') {
      return true;
    }
    if (block.kind === 'malformed') {
      return { responseFault: 'notAnEvent' };
    }
    const eventId = toOptionalField('eventId', block.id);
    // An id takes a number, so that it makes an event even where none is needed.
    if ((format.isNumbered || block.id !== undefined) && !block.hasData) {
      return { responseFault: 'noData', ...eventId };
    }
    const position = placeEvent(block.id);
    return position === 'next' || position === 'repeated'
      ? position === 'next'
      : { responseFault: position, ...eventId };
  };

  /** Two events claim one number, and either may be made up: all from that number on are in doubt. */
  const leaveOutDoubtful = (blocks: readonly SoundBlock[], fault: Fault) => {
    const number = parseEventNumber(fault.eventId);
    if (fault.responseFault !== 'numberTaken' || number === undefined) {
      return { blocks, fault: { ...fault, areEarlierInDoubt: false } };
    }
    const firstDoubtful = blocks.findIndex((block) => hasNumberFrom(block, number));
    return {
      blocks: firstDoubtful < 0 ? blocks : blocks.slice(0, firstDoubtful),
      fault: {
        ...fault,
        areEarlierInDoubt: lastNumberReturned !== undefined && lastNumberReturned >= number,
      },
    };
  };

  const recordReturned = (blocks: readonly SoundBlock[]): void => {
    const lastEvent = blocks.findLast(({ kind }) => kind === 'event');
    if (lastEvent?.kind === 'event') {
      lastNumberReturned = parseEventNumber(lastEvent.id) ?? lastNumberReturned;
    }
  };

  return {
    read: (bytes) => {
      const blocks: SoundBlock[] = [];
      for (const block of splitter.push(bytes)) {
        const judgement = judge(block);
        if (typeof judgement !== 'boolean') {
          return leaveOutDoubtful(blocks, judgement);
        }
        if (judgement && block.kind !== 'malformed') {
          blocks.push(block);
        }
      }
      recordReturned(blocks);
      return splitter.countIncompleteBytes() > MAX_EVENT_BYTES
        ? { blocks, fault: { responseFault: 'tooLong', areEarlierInDoubt: false } }
        : { blocks };
    },
    countIncompleteBytes: splitter.countIncompleteBytes,
  };
};
