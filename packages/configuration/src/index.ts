export type { ConfigurationDocument } from './document/configurationDocument.js';
export { configurationDocumentSchema } from './document/configurationDocumentSchema.js';
export type { Pool } from './document/pool.js';
export type { Preset } from './document/preset.js';
export type { Team } from './document/team.js';
export type { TierObjective } from './document/tierObjective.js';
export type { ConfigurationState } from './state/configurationState.js';
export { EMPTY_CONFIGURATION } from './state/emptyConfiguration.js';
export { getPresetInForce } from './state/getPresetInForce.js';
