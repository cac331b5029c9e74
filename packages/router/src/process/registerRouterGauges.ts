import { monitorEventLoopDelay } from 'node:perf_hooks';
import { registerProcessGauges } from '@parsleyhall/metrics';
import type { Metrics } from '@parsleyhall/metrics';
import { getQuotasLeft, getRetryBudgetLeft } from '@parsleyhall/routing';
import type { RolloutStatus, RoutingState } from '@parsleyhall/routing';
import type { MemoryBudget } from '../memory/memoryBudget.js';
import type { PacedReading } from '../reading/pacedReading.js';

const EVENT_LOOP_RESOLUTION_MS = 20;
const NANOSECONDS_PER_MS = 1_000_000;
const P99_PERCENTILE = 99;

const countRollouts = (
  { rollouts }: RoutingState,
  isCounted: (status: RolloutStatus) => boolean,
): number => rollouts.byService.count(({ status }) => status !== undefined && isCounted(status));

/** Registers gauges of a router's state and of the age of its data. */
export const registerRouterGauges = (
  metrics: Metrics,
  getState: () => RoutingState,
  { memory, reading }: { readonly memory: MemoryBudget; readonly reading: PacedReading },
): void => {
  const eventLoopDelay = monitorEventLoopDelay({ resolution: EVENT_LOOP_RESOLUTION_MS });
  eventLoopDelay.enable();
  registerProcessGauges(metrics);
  metrics.registerGauge('requests_open', () => getState().requests.size);
  metrics.registerGauge('requests_waiting', () =>
    [...getState().waiting.values()].reduce((sum, queue) => sum + queue.size, 0),
  );
  metrics.registerGauge('targets_listed', () => getState().targets.size);
  metrics.registerGauge('entries_known', () => getState().peers.size);
  metrics.registerGauge(
    'configuration_version',
    () => getState().index?.configuration.version ?? 0,
  );
  metrics.registerGauge('configuration_age_ms', () => {
    const { configurationConfirmedAt: confirmed } = getState();
    return confirmed === undefined ? -1 : Math.round(performance.now() - confirmed.monotonicMs);
  });
  metrics.registerGauge('targets_age_ms', () => {
    const { targetsConfirmedAtMs: targetsConfirmedMs } = getState();
    return targetsConfirmedMs === undefined
      ? -1
      : Math.round(performance.now() - targetsConfirmedMs);
  });
  metrics.registerGauge(
    'quota_least_left_share',
    () => getQuotasLeft(getState(), performance.now()).leastShare,
  );
  metrics.registerGauge(
    'teams_without_quota_left',
    () => getQuotasLeft(getState(), performance.now()).teamsWithout,
  );
  metrics.registerGauge('repeats_least_left', () => {
    const state = getState();
    const retriesLeft = [...state.retryBuckets.keys()].map((service) =>
      getRetryBudgetLeft(state, service, performance.now()),
    );
    return Math.floor(
      retriesLeft.reduce((least, count) => Math.min(least, count), state.settings.retries.slack),
    );
  });
  metrics.registerGauge('caller_memory_bytes', memory.countHeldBytes);
  metrics.registerGauge('caller_memory_limit_bytes', memory.getLimitBytes);
  metrics.registerGauge('callers_connections_waiting', reading.countWaitingConnections);
  metrics.registerGauge('targets_limited', () =>
    getState().targetLimits.count(({ perSecond }) => perSecond !== undefined),
  );
  metrics.registerGauge('targets_reporting_load', () =>
    getState().targets.count(({ load }) => load !== undefined),
  );
  metrics.registerGauge('tokens_held', () =>
    [...getState().targets.values()].reduce((sum, { heldTokens }) => sum + heldTokens, 0),
  );
  metrics.registerGauge('prompts_quarantined', () => getState().promptFaults.quarantines.size);
  metrics.registerGauge('prompt_parts_suspected', () => getState().promptFaults.suspicions.size);
  metrics.registerGauge('rollouts_running', () =>
    countRollouts(getState(), ({ stage }) => stage !== 'completed' && stage !== 'rolledBack'),
  );
  metrics.registerGauge('rollouts_leaving_old_targets', () =>
    countRollouts(getState(), ({ stage }) => stage === 'leavingOld'),
  );
  metrics.registerGauge('rollout_records_age_ms', () => {
    const { confirmedAtMs } = getState().rollouts;
    return confirmedAtMs === undefined ? -1 : Math.round(performance.now() - confirmedAtMs);
  });
  metrics.registerGauge(
    'event_loop_delay_p99_ms',
    () => eventLoopDelay.percentile(P99_PERCENTILE) / NANOSECONDS_PER_MS,
  );
};
