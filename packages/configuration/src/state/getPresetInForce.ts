import type { Preset } from '../document/preset.js';
import type { ConfigurationState } from './configurationState.js';

/** Returns the preset in force, or undefined if no document has been published yet. */
export const getPresetInForce = (configuration: ConfigurationState): Preset | undefined =>
  configuration.document?.presets.find((preset) => preset.name === configuration.presetInForce);
