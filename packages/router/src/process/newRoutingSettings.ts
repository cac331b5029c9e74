import type { RoutingSettings } from '@parsleyhall/routing';
import type { RouterSettings } from './routerSettings.js';

/** What the scheduler needs of a router's settings. */
export const newRoutingSettings = (
  { host, dataCentre, retries, quotas, longestUnconfirmedMs }: RouterSettings,
  incarnation: number,
): RoutingSettings => ({
  host,
  incarnation,
  dataCentre,
  retries,
  quotas,
  longestUnconfirmedMs,
});
