import { Map } from 'immutable';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import { updateAverage } from '../targets/updateAverage.js';
import { decayRecentRate } from './decayRecentRate.js';
import { countInGroups } from './countInGroups.js';
import { getRequestSize } from './getRequestSize.js';
import type { MemoryStatistics } from './memoryStatistics.js';
import { PRIOR_SHARE } from './priorShare.js';

/** The weight of one request in the moving averages. */
const SAMPLE_WEIGHT = 0.02;

/** Adds an admitted request to the statistics of its service; `routeNames` are those of the current configuration. */
export const updateMemoryStatistics = (
  statistics: MemoryStatistics | undefined,
  request: TrackedRequest,
  {
    routeNames,
    memoryTokens,
    nowMs,
  }: {
    readonly routeNames: ReadonlySet<string>;
    readonly memoryTokens: number;
    readonly nowMs: number;
  },
): MemoryStatistics => {
  const { heldTokens, route } = request;
  const priorTokens = PRIOR_SHARE * memoryTokens;
  const known = Object.entries(statistics?.meanSizes ?? {}).filter(([name]) =>
    routeNames.has(name),
  );
  const meanSizes = Object.fromEntries(known);
  const size = updateAverage(meanSizes[route.name], getRequestSize(request), SAMPLE_WEIGHT);
  return {
    meanTokens: updateAverage(statistics?.meanTokens ?? priorTokens, heldTokens, SAMPLE_WEIGHT),
    meanSquaredTokens: updateAverage(
      statistics?.meanSquaredTokens ?? priorTokens * priorTokens,
      heldTokens * heldTokens,
      SAMPLE_WEIGHT,
    ),
    meanSizes: { ...meanSizes, [route.name]: size },
    arrivals: decayRecentRate(statistics?.arrivals, nowMs, 1),
    shares: countInGroups(statistics?.shares ?? Map(), request, size, 'arrived', nowMs),
  };
};
