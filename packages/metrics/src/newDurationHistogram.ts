import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

const MAX_DURATION_MS = 86_400_000;
const SIGNIFICANT_DIGITS = 2;

/** Creates an empty histogram for durations of up to a day, in milliseconds. */
export const newDurationHistogram = (): Histogram =>
  build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_DURATION_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    autoResize: true,
    useWebAssembly: false,
  });
