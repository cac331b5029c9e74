import { toOptionalField } from '@parsleyhall/common';
import type { RoutingSettings } from '@parsleyhall/routing';
import type { RouterSettings } from './routerSettings.js';

/** Selects the scheduler's settings from those of the router. */
export const createRoutingSettings = (
  {
    host,
    dataCentre,
    crossDataCentre,
    retries,
    quotas,
    rollouts,
    trustedPromptParts,
    isTargetMemoryLimited,
    longestUnconfirmedMs,
  }: RouterSettings,
  incarnation: number,
): RoutingSettings => ({
  host,
  incarnation,
  dataCentre,
  ...toOptionalField('crossDataCentre', crossDataCentre),
  retries,
  quotas,
  ...toOptionalField('rollouts', rollouts),
  trustedPromptParts,
  ...toOptionalField('isTargetMemoryLimited', isTargetMemoryLimited),
  longestUnconfirmedMs,
});
