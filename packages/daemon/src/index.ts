export { checkSettings } from './settings/checkSettings.js';
export type { EntrySettingsFile } from './settings/entrySettingsFile.js';
export { entrySettingsFileSchema } from './settings/entrySettingsFileSchema.js';
export type { SideSettingsFile } from './settings/sideSettingsFile.js';
export { sideSettingsFileSchema } from './settings/sideSettingsFileSchema.js';
export { startEntry } from './entryShell/startEntry.js';
export { startFromFile } from './startFromFile.js';
export { startSide } from './sideShell/startSide.js';
