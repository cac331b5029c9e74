export type { Command } from './commandLine/command.js';
export type { OperatorEnvironment } from './commandLine/operatorEnvironment.js';
export { parseCommandLine } from './commandLine/parseCommandLine.js';
export { runCommand } from './commandLine/runCommand.js';
export { renderSettingsReference } from './reference/renderSettingsReference.js';
export { operatorSettingsSchema } from './settings/operatorSettingsSchema.js';
