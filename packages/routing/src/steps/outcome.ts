import type { Reduction } from '@parsleyhall/common';
import type { RoutingEffect } from '../routingEffect.js';
import type { RoutingState } from '../routingState.js';

/** What a step of the scheduler leads to. */
export type Outcome = Reduction<RoutingState, RoutingEffect>;
