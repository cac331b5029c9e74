import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { Candidate } from './candidate.js';
import { getNominalMs } from './getNominalMs.js';
import { getPoolPaceMs } from './getPoolPaceMs.js';
import { predictCost } from './predictCost.js';
import type { ServicePace } from './servicePace.js';

const hasRoom = ({ target, totalInFlight }: Candidate): boolean =>
  totalInFlight < target.listed.slots;

const isRested = ({ target }: Candidate, nowMs: number): boolean => target.restsUntilMs <= nowMs;

/** The target with room that is predicted to serve the request best; one that rests only where all do. */
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
  const rested = untried.filter((candidate) => isRested(candidate, nowMs));
  const usable = (rested.length === 0 ? untried : rested).filter(hasRoom);
  const poolPaceMs = getPoolPaceMs(candidates.map(({ target }) => target));
  const nominalMs = getNominalMs(request, pace);
  const costs = usable.map((candidate) => ({
    candidate,
    cost: predictCost({
      candidate,
      poolPaceMs,
      nominalMs,
      prefillMsPerToken: pace.prefillMsPerToken,
      dataCentre,
    }),
  }));
  return costs.reduce<(typeof costs)[number] | undefined>(
    (best, next) => (best === undefined || next.cost < best.cost ? next : best),
    undefined,
  )?.candidate;
};
