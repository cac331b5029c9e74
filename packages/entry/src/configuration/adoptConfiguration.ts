import type { ConfigurationState } from '@parsleyhall/configuration';
import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { emit } from '../steps/emit.js';
import { withState } from '../steps/withState.js';

/** Puts a newer configuration in force; an older one is left. */
export const adoptConfiguration = (
  scope: EntryScope,
  step: EntryStep,
  offered: ConfigurationState,
): EntryStep =>
  scope.decisions.acceptsConfiguration(step.state.configuration, offered)
    ? emit(withState(step, { configuration: offered }), {
        type: 'configurationInForce',
        configuration: offered,
      })
    : step;
