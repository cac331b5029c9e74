import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { CrossingPolicy } from './crossingPolicy.js';

/** Assumed length of a response per output token; a stream is assumed to send an event for each. */
const BYTES_PER_OUTPUT_TOKEN = 200;
const BYTES_PER_MEGABYTE = 1_000_000;

/** The cost of sending a request to another data centre, delay and bytes together, in milliseconds. */
export const getCrossingCostMs = (
  { bodyBytes, expectedOutputTokens }: TrackedRequest,
  { delayMs, costMsPerMegabyte }: CrossingPolicy,
): number => {
  const bytes = bodyBytes + expectedOutputTokens * BYTES_PER_OUTPUT_TOKEN;
  return delayMs + (bytes / BYTES_PER_MEGABYTE) * costMsPerMegabyte;
};
