import type { Preset } from '../document/preset.js';
import type { ConfigurationState } from './configurationState.js';

/** The preset in force, or undefined while there is no configuration. */
export const getPresetInForce = (configuration: ConfigurationState): Preset | undefined =>
  configuration.document?.presets.find((preset) => preset.name === configuration.presetInForce);
