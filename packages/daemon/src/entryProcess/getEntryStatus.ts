import type { Tier } from '@parsleyhall/common';
import type { EntrySettings, EntryState, SideLink } from '@parsleyhall/entry';
import type { ProcessStatus } from '@parsleyhall/clients';
import type { CallerRegistry } from '../callers/callerRegistry.js';
import type { Metrics } from '@parsleyhall/metrics';

type SideStatus = ProcessStatus['sides'][number];

const toTargetStatus = ({ digest, isLeaving }: SideLink): Pick<SideStatus, 'target'> =>
  digest === undefined ? {} : { target: { ...digest, isLeaving: digest.isLeaving || isLeaving } };

const toSideStatus = (link: SideLink): SideStatus => ({
  side: link.side,
  host: link.host,
  dataCentre: link.greeting?.dataCentre ?? '',
  pool: link.greeting?.pool ?? '',
  isConnected: link.isConnected,
  ...toTargetStatus(link),
});

const getLowestTierAdmitted = (state: EntryState): Tier =>
  [...state.pools.values()].reduce<Tier>(
    (lowest, pool) => (pool.lowestTierAdmitted < lowest ? pool.lowestTierAdmitted : lowest),
    4,
  );

/** Builds the status of an entry that operators read at `/status`. */
export const getEntryStatus = ({
  settings,
  state,
  callers,
  metrics,
}: {
  readonly settings: EntrySettings;
  readonly state: EntryState;
  readonly callers: CallerRegistry;
  readonly metrics: Metrics;
}): ProcessStatus => {
  const lowestTierAdmitted = getLowestTierAdmitted(state);
  return {
    process: settings.entry,
    role: 'entry',
    host: settings.host,
    dataCentre: settings.dataCentre,
    incarnation: settings.incarnation,
    configurationVersion: state.configuration.version,
    presetInForce: state.configuration.presetInForce,
    isLeaving: state.isStopping,
    waitingByTier: callers.countByTier(false),
    runningByTier: callers.countByTier(true),
    shedding: {
      lowestTierAdmitted,
      ...(lowestTierAdmitted === 4 ? {} : { reason: 'waiting requests over the limit' }),
    },
    sides: [...state.sides.values()].map(toSideStatus),
    counters: metrics.getCounters(),
  };
};
