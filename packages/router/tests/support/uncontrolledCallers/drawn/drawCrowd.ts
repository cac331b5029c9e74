import { createRandom } from '../../createRandom.js';
import type { CallerKind } from './callerKind.js';
import type { DrawnCrowd } from './drawnCrowd.js';

/** Keeps the numbers of successive seeds apart. */
const SEED_FACTOR = 2_654_435_761;
const MAX_KINDS = 3;
const MAX_WAVES = 3;
const MIN_CALLERS = 50;
const MAX_CALLERS = 300;
const MAX_LINES = 3_000;
const MAX_HEAD_BYTES = 16_000;
const MAX_CHUNKS = 300_000;
const MAX_REQUESTS_AHEAD = 3_000;
const BODY_SHARES = [0, 0.01, 0.3, 0.99, 1, 1.5] as const;
const CHUNK_BYTES = [1, 2, 8, 64, 1_024, 16_384, 65_536] as const;
const RESPONSE_BYTES = [0, 100, 65_536, 4_000_000] as const;

/** Draws a crowd. The same seed draws the same one. */
export const drawCrowd = (seed: number, maxBodyBytes: number): DrawnCrowd => {
  const random = createRandom(Math.imul(seed, SEED_FACTOR));
  const pick = <Value>(values: readonly Value[]): Value =>
    values[Math.floor(random() * values.length)] as Value;
  const drawUpTo = (most: number): number => Math.floor(random() * (most + 1));
  /** Small values are as frequent as large ones. */
  const drawMagnitude = (most: number): number => Math.floor(Math.exp(random() * Math.log(most)));

  const drawKind = (callers: number): CallerKind => {
    const chunkBytes = pick(CHUNK_BYTES);
    const bodyBytes = Math.floor(pick(BODY_SHARES) * maxBodyBytes);
    const headerLines = pick([0, drawMagnitude(MAX_LINES)]);
    const lineBytes = Math.floor(MAX_HEAD_BYTES / Math.max(headerLines, 1));
    return {
      callers,
      framing: pick(['announced', 'chunked', 'chunked', 'none']),
      chunkBytes,
      bodyBytes: Math.min(bodyBytes, MAX_CHUNKS * chunkBytes),
      headerLines,
      headerValueBytes: pick([1, Math.max(lineBytes - 10, 1)]),
      hasUsualHeaders: random() < 0.5,
      stopsAt: pick(['inHead', 'inBody', 'justShort', 'complete', 'behind']),
      requestsAhead: pick([0, 0, drawMagnitude(MAX_REQUESTS_AHEAD)]),
      responseBytes: pick(RESPONSE_BYTES),
      reading: pick(['fully', 'slowly', 'never']),
      end: pick(['kept', 'kept', 'ended', 'reset']),
    };
  };
  const drawWave = (): readonly CallerKind[] => {
    const kinds = 1 + drawUpTo(MAX_KINDS - 1);
    const callers = MIN_CALLERS + drawUpTo(MAX_CALLERS - MIN_CALLERS);
    return Array.from({ length: kinds }, () => drawKind(Math.ceil(callers / kinds)));
  };
  return { waves: Array.from({ length: 1 + drawUpTo(MAX_WAVES - 1) }, drawWave) };
};
