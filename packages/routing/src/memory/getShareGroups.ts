import { clamp } from '@parsleyhall/common';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { getRequestSize } from './getRequestSize.js';

/** Size classes for each doubling of the size. */
const CLASSES_PER_DOUBLING = 2;
/** Sizes beyond 16 times the mean, or below a 16th of it, are not told apart. */
const MAX_SIZE_CLASS = 8;

const getSizeClass = (request: TrackedRequest, meanSize: number | undefined): number => {
  const relativeSize =
    meanSize === undefined || meanSize === 0 ? 1 : getRequestSize(request) / meanSize;
  const doublings = Math.log2(Math.max(Number.MIN_VALUE, relativeSize));
  const sizeClass = Math.floor(CLASSES_PER_DOUBLING * doublings);
  return clamp(sizeClass, -MAX_SIZE_CLASS, MAX_SIZE_CLASS);
};

/**
 * The groups of requests among which memory is shared fairly: requests of a kind with about the same size, and requests of
 * a team.
 */
export const getShareGroups = (
  request: TrackedRequest,
  meanSize: number | undefined,
): readonly string[] => [
  `size/${request.route.name}/${getSizeClass(request, meanSize)}`,
  `team/${request.team ?? ''}`,
];
