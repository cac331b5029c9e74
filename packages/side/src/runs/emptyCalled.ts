import { Map } from 'immutable';
import type { CalledState } from './calledState.js';

/** A new incarnation has called nothing. */
export const EMPTY_CALLED: CalledState = {
  recent: Map(),
  older: Map(),
  forgottenUpTo: 0,
  recentSince: 0,
};
