import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

const LONGEST_MS = 86_400_000;
const DIGITS = 2;

/** An empty histogram of milliseconds, up to a day. */
export const newDurationHistogram = (): Histogram =>
  build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: LONGEST_MS,
    numberOfSignificantValueDigits: DIGITS,
    autoResize: true,
    useWebAssembly: false,
  });
