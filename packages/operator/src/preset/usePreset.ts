import { EitherAsync } from 'purify-ts';
import type { CommandOutput } from '../commandLine/commandOutput.js';
import type { OperatorSession } from '../commandLine/operatorSession.js';
import { readConfiguration } from '../configuration/readConfiguration.js';
import { submitChange } from '../configuration/submitChange.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';

/** Puts a preset in force. */
export const usePreset = (
  session: OperatorSession,
  preset: string,
): EitherAsync<OperatorFailure, CommandOutput> =>
  EitherAsync(async (steps) => {
    const { environment, settings, log } = session;
    const { history, state } = await steps.fromPromise(readConfiguration(log));
    const changed = await steps.fromPromise(
      submitChange(session, history, {
        type: 'usePreset',
        publicationId: environment.createPublicationId(),
        base: state.version,
        operator: settings.operator,
        preset,
      }),
    );
    return {
      text: `Preset ${preset} is in force as of version ${changed.version}; previously: ${state.presetInForce ?? 'none'}.`,
      json: { version: changed.version, presetInForce: preset, before: state.presetInForce },
    };
  });
