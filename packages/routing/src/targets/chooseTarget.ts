import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { Candidate } from './candidate.js';
import { getPoolPaceMs } from './getPoolPaceMs.js';
import type { Prediction } from './prediction.js';
import { predictRun } from './predictRun.js';
import type { ServicePace } from './servicePace.js';

/** The part of the time left that a predicted run may take, since outputs turn out longer than expected. */
const FIT_SHARE = 0.8;

const hasRoom = ({ candidate: { target, totalInFlight } }: Prediction): boolean =>
  totalInFlight < target.listed.slots;

const findCheapest = (predictions: readonly Prediction[]): Prediction | undefined =>
  predictions.reduce<Prediction | undefined>(
    (best, next) => (best === undefined || next.costMs < best.costMs ? next : best),
    undefined,
  );

/**
 * The target with room that is predicted to serve the request best. A target that rests counts only where all do; one
 * that is too slow to end in time only where all are, so that long work waits for a fast target.
 */
export const chooseTarget = ({
  request,
  candidates,
  pace,
  dataCentre,
  nowMs,
}: {
  readonly request: TrackedRequest;
  readonly candidates: readonly Candidate[];
  readonly pace: ServicePace;
  readonly dataCentre: string;
  readonly nowMs: number;
}): Candidate | undefined => {
  const untried = candidates.filter(
    ({ target }) => !request.triedTargets.includes(target.listed.id),
  );
  const rested = untried.filter(({ target }) => target.restsUntilMs <= nowMs);
  const poolPaceMs = getPoolPaceMs(candidates.map(({ target }) => target));
  const predictions = (rested.length === 0 ? untried : rested).map((candidate) =>
    predictRun({ request, candidate, poolPaceMs, pace, dataCentre, nowMs }),
  );
  const leftMs = (request.deadlineAtMs - nowMs) * FIT_SHARE;
  const fitting = predictions.filter(({ runMs }) => runMs <= leftMs);
  const usable = fitting.length === 0 ? predictions : fitting;
  return findCheapest(usable.filter(hasRoom))?.candidate;
};
