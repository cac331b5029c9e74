import type { EitherAsync } from 'purify-ts';
import type { Preset } from '@parsleyhall/configuration';
import type { CommandOutput } from '../commandLine/commandOutput.js';
import { formatTable } from '../commandLine/formatTable.js';
import type { OperatorSession } from '../commandLine/operatorSession.js';
import { readConfiguration } from '../configuration/readConfiguration.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';

const formatObjectives = (preset: Preset): string =>
  [...preset.tiers]
    .sort((left, right) => left.tier - right.tier)
    .map(({ objective, deadlineMs }) => `${objective * 100}% in ${deadlineMs} ms`)
    .join('\n');

/** Lists the presets and marks the one in force. */
export const listPresets = ({
  log,
}: OperatorSession): EitherAsync<OperatorFailure, CommandOutput> =>
  readConfiguration(log).map(({ state, document }) => ({
    text: formatTable({
      head: ['preset', 'in force', 'lowest tier admitted', 'objectives, tier 1 to 4'],
      rows: document.presets.map((preset) => [
        preset.name,
        preset.name === state.presetInForce ? 'yes' : '',
        preset.lowestTierAdmitted,
        formatObjectives(preset),
      ]),
    }),
    json: { presetInForce: state.presetInForce, presets: document.presets },
  }));
