import type { RoutingState } from '../routingState.js';
import type { StepContext } from '../steps/stepContext.js';
import type { Candidate } from '../targets/candidate.js';
import { getLatencyModel } from '../targets/getLatencyModel.js';
import { areSlowTogether } from './areSlowTogether.js';
import { countUsableSlots } from './countUsableSlots.js';
import { getContention } from './getContention.js';
import { getCrossingPeriodMs } from './getCrossingPeriodMs.js';
import { getHomeSlots } from './getHomeSlots.js';
import { getOpenSlots } from './getOpenSlots.js';
import { getReservedSlots } from './getReservedSlots.js';
import { getRooms } from './getRooms.js';
import { isWorking } from './isWorking.js';
import type { Locality } from './locality.js';
import { selectReachable } from './selectReachable.js';

/** The contention up to which a data centre takes requests almost without rejections. */
const MAX_AMPLE_CONTENTION = 0.5;

/**
 * Evaluates the data centres for a service; undefined if the settings do not call for it or all its targets are at home.
 */
export const getLocality = ({
  state,
  service,
  candidates,
  liveEntries,
  medianServiceTimeMs,
  context: { settings, nowMs },
}: {
  readonly state: RoutingState;
  readonly service: string;
  readonly candidates: readonly Candidate[];
  /** The number of entries in all data centres, this one included. */
  readonly liveEntries: number;
  /** Of the candidates; undefined if none is known. */
  readonly medianServiceTimeMs: number | undefined;
  readonly context: Pick<StepContext, 'settings' | 'nowMs'>;
}): Locality | undefined => {
  const { crossDataCentre: policy, dataCentre, host } = settings;
  if (policy === undefined) {
    return undefined;
  }
  const rooms = getRooms(candidates, nowMs);
  const dataCentres = new Set([dataCentre, ...rooms.keys()]);
  if (dataCentres.size === 1) {
    return undefined;
  }
  const homeRoom = rooms.get(dataCentre);
  const entriesEach = liveEntries / dataCentres.size;
  const entriesOutside = Math.max(1, liveEntries - entriesEach);
  const load = {
    liveEntries,
    meanDurationMs: getLatencyModel(state, service).meanDurationMs,
    periodMs: getCrossingPeriodMs(liveEntries - 1),
  };
  const ample = [...rooms].filter(
    ([, room]) =>
      getContention(room, { ...load, reservedSlots: getReservedSlots(room) }) <=
      MAX_AMPLE_CONTENTION,
  );
  const homeCandidates = candidates.filter(({ target }) => target.listed.dataCentre === dataCentre);
  const homeTargets = homeCandidates.map(({ target }) => target);
  const openSlots = getOpenSlots({
    state,
    service,
    rooms,
    entries: entriesOutside,
    isHomeAvailable: homeTargets.some(({ cooldownUntilMs }) => cooldownUntilMs <= nowMs),
  });
  const isHomeWorking = homeCandidates.some((candidate) => isWorking(candidate, nowMs));
  const reachableDataCentres = selectReachable({
    dataCentres: rooms.keys(),
    home: dataCentre,
    crossings: state.crossings.get(service),
    isHomeWorking,
  });
  return {
    dataCentre,
    host,
    policy,
    openSlots,
    reachableDataCentres,
    reachingEntries: Math.max(1, entriesEach * reachableDataCentres.size),
    ampleDataCentres: new Set(ample.map(([name]) => name)),
    homeContention:
      homeRoom === undefined ? 0 : getContention(homeRoom, { ...load, reservedSlots: 0 }),
    homeSlots: getHomeSlots(homeCandidates, {
      free: homeRoom?.sendableSlots ?? 0,
      unknownServiceTimeMs: medianServiceTimeMs ?? Infinity,
      nowMs,
    }),
    isHomeWorking,
    isHomeSlow: areSlowTogether(homeTargets, nowMs),
    usableSlots: countUsableSlots({ rooms, dataCentre, openSlots, isHomeWorking }),
  };
};
