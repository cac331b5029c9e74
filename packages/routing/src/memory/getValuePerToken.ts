import type { TrackedRequest } from '../requests/trackedRequest.js';
import { getRequestSize } from './getRequestSize.js';

/** The value of a very small request, relative to one of the mean size; the rest of the value grows with the size. */
const BASE_VALUE = 0.3;
const VALUE_PER_RELATIVE_SIZE = 0.7;
/** The greatest value of a request, relative to one of the mean size of its kind. */
const MAX_VALUE = 4;

/** The value of a request per token that it holds, where one of the mean size of its kind has the value 1. */
export const getValuePerToken = (
  request: Pick<
    TrackedRequest,
    'promptTokens' | 'expectedOutputTokens' | 'heldTokens' | 'isSizeUnknown'
  >,
  meanSize: number | undefined,
): number => {
  const relativeSize =
    meanSize === undefined || meanSize === 0 || request.isSizeUnknown === true
      ? 1
      : getRequestSize(request) / meanSize;
  const value = Math.min(MAX_VALUE, BASE_VALUE + VALUE_PER_RELATIVE_SIZE * relativeSize);
  return value / Math.max(1, request.heldTokens);
};
