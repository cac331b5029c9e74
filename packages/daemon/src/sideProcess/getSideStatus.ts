import type { ProcessStatus } from '@parsleyhall/clients';
import type { SideSettings, SideState } from '@parsleyhall/side';
import type { Metrics } from '@parsleyhall/metrics';

const NO_TIERS = [0, 0, 0, 0] as const;

/** Builds the status of a side process that operators read at `/status`. */
export const getSideStatus = (
  settings: SideSettings,
  state: SideState,
  metrics: Metrics,
): ProcessStatus => {
  const { digest } = state.periods;
  const { isHostLeaving, isDrained, isStopRequested } = state.leaving;
  const lowestTierAdmitted = digest?.lowestTierAdmitted ?? 4;
  return {
    process: settings.side,
    role: 'side',
    host: settings.host,
    dataCentre: settings.dataCentre,
    incarnation: settings.incarnation,
    configurationVersion: state.configuration.version,
    presetInForce: state.configuration.presetInForce,
    isLeaving: isHostLeaving || isDrained || isStopRequested,
    waitingByTier: digest?.waitingByTier ?? NO_TIERS,
    runningByTier: state.occupancy.byTier,
    windowRequests: Math.floor(state.window.requests),
    shedding: {
      lowestTierAdmitted,
      ...(lowestTierAdmitted === 4 ? {} : { reason: 'more work waits than can be done in time' }),
    },
    sides: [],
    counters: metrics.getCounters(),
  };
};
