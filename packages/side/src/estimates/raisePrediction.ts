import type { Prediction } from './prediction.js';

const RAISE = 1.2;

/** A predicted duration raised for what the prediction can not see, in milliseconds. */
export const raisePrediction = ({ finishMs }: Prediction): number => finishMs * RAISE;
