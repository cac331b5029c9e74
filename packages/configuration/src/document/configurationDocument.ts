import type { Pool } from './pool.js';
import type { Preset } from './preset.js';
import type { Team } from './team.js';

/** The configuration document, which operators keep in version control and publish. */
export interface ConfigurationDocument {
  readonly teams: readonly Team[];
  readonly pools: readonly Pool[];
  readonly presets: readonly Preset[];
  /** Name of the preset that is in force after the first publication. */
  readonly initialPreset: string;
}
