import type { RoutingState } from '../routingState.js';
import { newServicePace } from './newServicePace.js';
import type { ServicePace } from './servicePace.js';

/** What is known of a service's pace, or what is taken for it before anything is known. */
export const getPace = ({ paces }: RoutingState, service: string): ServicePace =>
  paces.get(service) ?? newServicePace();
