import { GARBAGE_KINDS } from './garbageKinds.js';
import type { TargetResponse } from './targetResponse.js';

const EVENT_STREAM_TYPES = ['text/event-stream', 'Text/Event-Stream; Charset=UTF-8'] as const;
const OTHER_TYPES = ['text/plain', undefined] as const;
const FRAMINGS = ['ownWrites', 'oneWrite', 'unframed'] as const;
const RESET_SHARE = 0.3;

/**
 * Inserts garbage before the first event of a stream, in its middle or behind its last; draws its kind, its place, the
 * framing, the media type and whether the connection is reset right behind it.
 */
export const insertGarbage = (
  sound: TargetResponse,
  {
    isNumbered,
    firstNumber,
    random,
  }: {
    /** Whether each event has to have the number that is due; then the media type does not matter. */
    readonly isNumbered: boolean;
    readonly firstNumber: number;
    readonly random: () => number;
  },
): TargetResponse => {
  const draw = <Value>(values: readonly Value[]): Value | undefined =>
    values[Math.floor(random() * values.length)];
  const { length } = sound.chunks;
  const eventsBefore = draw([0, Math.ceil(length / 2), length]) ?? 0;
  const kinds = GARBAGE_KINDS.filter(
    ({ mayBeFirst }) => isNumbered || eventsBefore > 0 || !mayBeFirst,
  );
  const garbage = draw(kinds)?.write(firstNumber + eventsBefore) ?? '';
  const framing = draw(FRAMINGS);
  const isReset = random() < RESET_SHARE;
  const rest = isReset ? [] : sound.chunks.slice(eventsBefore);
  const chunks = [...sound.chunks.slice(0, eventsBefore), garbage, ...rest];
  return {
    contentType: draw(isNumbered ? [...EVENT_STREAM_TYPES, ...OTHER_TYPES] : EVENT_STREAM_TYPES),
    isFramed: framing !== 'unframed',
    chunks: framing === 'oneWrite' ? [chunks.join('')] : chunks,
    intervalMs: framing === 'oneWrite' ? 0 : sound.intervalMs,
    end: isReset ? 'reset' : 'complete',
  };
};
