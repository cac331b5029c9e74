import type { RoutingState } from '../routingState.js';
import { newDefaultLatencyModel } from './newDefaultLatencyModel.js';
import type { LatencyModel } from './latencyModel.js';

/** The latency model of a service, or the default one before any response was observed. */
export const getLatencyModel = ({ latencyModels }: RoutingState, service: string): LatencyModel =>
  latencyModels.get(service) ?? newDefaultLatencyModel();
