import type { ConfigurationState } from '@parsleyhall/configuration';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import { updateLeaving } from '../leaving/updateLeaving.js';
import { handBackBelow } from '../shedding/handBackBelow.js';
import { andThen } from '../step/andThen.js';
import { newStep } from '../step/newStep.js';
import { newRules } from './newRules.js';

/** Puts a configuration in force when it is newer than the present one. */
export const takeConfiguration = (
  context: SideContext,
  state: SideState,
  configuration: ConfigurationState,
): SideStep => {
  if (!context.decisions.acceptsConfiguration(state.configuration, configuration)) {
    return newStep(state);
  }
  const rules = newRules(configuration);
  const isDrained = configuration.drainedHosts.includes(context.settings.host);
  const inForce = newStep(
    { ...state, configuration, rules },
    { type: 'configurationInForce', configuration },
  );
  const left = andThen(inForce, (next) => updateLeaving(context, next, { isDrained }));
  return andThen(left, (next) => handBackBelow(context, next, rules.lowestTierAdmitted));
};
