import type { RoutingSettings } from '@parsleyhall/routing';

/**
 * The changed settings with the bounds of roll-outs that the process started with, since the records of roll-outs are
 * followed from the start or not at all.
 */
export const keepRollouts = (
  changed: RoutingSettings,
  bounds: RoutingSettings['rollouts'],
): RoutingSettings => {
  const { rollouts, ...others } = changed;
  if (bounds === undefined) {
    return others;
  }
  return rollouts === bounds ? changed : { ...others, rollouts: bounds };
};
