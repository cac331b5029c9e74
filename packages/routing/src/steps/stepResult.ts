import type { Reduction } from '@parsleyhall/common';
import type { RoutingEffect } from '../routingEffect.js';
import type { RoutingState } from '../routingState.js';

/** The next state and the effects of a reducer step. */
export type StepResult = Reduction<RoutingState, RoutingEffect>;
