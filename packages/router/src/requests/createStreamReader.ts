import { toOptionalField } from '@parsleyhall/common';
import { createEventOrder } from './createEventOrder.js';
import { createEventSplitter } from './createEventSplitter.js';
import type { EventFormat } from './eventFormat.js';
import { parseEventNumber } from './parseEventNumber.js';
import type { SoundBlock } from './soundBlock.js';
import type { SplitBlock } from './splitBlock.js';
import type { StreamFault } from './streamFault.js';
import type { StreamReader } from './streamReader.js';

/** A stream with a longer event is treated as malformed. */
const MAX_EVENT_BYTES = 1_048_576;

type Fault = Omit<StreamFault, 'areEarlierInDoubt'>;
/** What is to be done with a block. */
type Judgement =
  | { readonly type: 'relay'; readonly block: SoundBlock }
  | { readonly type: 'leaveOut' }
  | { readonly type: 'fail'; readonly fault: Fault };

/** Creates a reader of a new stream. `getLastRelayedId` returns the id of the last event that the caller has received. */
export const createStreamReader = (
  format: EventFormat,
  getLastRelayedId: () => string | undefined,
): StreamReader => {
  const splitter = createEventSplitter(format);
  const placeEvent = createEventOrder(format, getLastRelayedId);
  /** The number of the last event that was read. */
  let lastNumberRead: number | undefined;
  /** The number of the last event of the reads before this one that was to be relayed. */
  let lastNumberReturned: number | undefined;

  const parseNumber = (id: string | undefined): number | undefined =>
    parseEventNumber(id, format.firstNumber);

  const judgeEvent = (block: Extract<SplitBlock, { kind: 'event' }>): Judgement => {
    const eventId = toOptionalField('eventId', block.id);
    // An id takes a number, so that it makes an event even where none is needed.
    if ((format.isNumbered || block.id !== undefined) && !block.hasData) {
      return { type: 'fail', fault: { responseFault: 'noData', ...eventId } };
    }
    const position = placeEvent(block.id);
    if (position !== 'next' && position !== 'repeated') {
      return { type: 'fail', fault: { responseFault: position, ...eventId } };
    }
    lastNumberRead = parseNumber(block.id) ?? lastNumberRead;
    return position === 'next' ? { type: 'relay', block } : { type: 'leaveOut' };
  };

  const judge = (block: SplitBlock): Judgement => {
    switch (block.kind) {
      case 'comment':
        return { type: 'relay', block };
      case 'malformed':
        return { type: 'fail', fault: { responseFault: 'notAnEvent' } };
      case 'event':
        return judgeEvent(block);
    }
  };

  /** Two events claim one number, and either may be made up: all from that number on are in doubt. */
  const areEarlierInDoubt = ({ responseFault, eventId }: Fault): boolean => {
    const number = parseNumber(eventId);
    return (
      responseFault === 'numberTaken' &&
      number !== undefined &&
      lastNumberReturned !== undefined &&
      lastNumberReturned >= number
    );
  };

  const readBlocks = (bytes: Buffer): readonly SoundBlock[] | Fault => {
    const blocks: SoundBlock[] = [];
    for (const block of splitter.push(bytes)) {
      const judgement = judge(block);
      if (judgement.type === 'fail') {
        return judgement.fault;
      }
      if (judgement.type === 'relay') {
        blocks.push(judgement.block);
      }
    }
    return splitter.countIncompleteBytes() > MAX_EVENT_BYTES
      ? { responseFault: 'tooLong' }
      : blocks;
  };

  return {
    read: (bytes) => {
      const result = readBlocks(bytes);
      if ('responseFault' in result) {
        return { blocks: [], fault: { ...result, areEarlierInDoubt: areEarlierInDoubt(result) } };
      }
      if (result.some(({ kind }) => kind === 'event')) {
        lastNumberReturned = lastNumberRead;
      }
      return { blocks: result };
    },
    countIncompleteBytes: splitter.countIncompleteBytes,
    hasIncompleteEvent: splitter.hasIncompleteEvent,
    findEndFault: () => {
      const lastRelayed = parseNumber(getLastRelayedId());
      if (format.isNumbered && lastRelayed === undefined) {
        return { responseFault: 'noEvents', areEarlierInDoubt: false };
      }
      return lastNumberRead !== undefined &&
        lastRelayed !== undefined &&
        lastNumberRead < lastRelayed
        ? { responseFault: 'endsTooEarly', areEarlierInDoubt: false }
        : undefined;
    },
  };
};
