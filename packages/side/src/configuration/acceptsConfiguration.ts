import type { ConfigurationState } from '@parsleyhall/configuration';

/** Whether an offered configuration replaces the one in force: only one of a higher version. */
export const acceptsConfiguration = (
  inForce: ConfigurationState,
  offered: ConfigurationState,
): boolean => offered.version > inForce.version;
