import { ENGINE_MODEL } from './engineModel.js';

interface EngineVariant {
  readonly models: readonly string[];
  readonly speedFactor: number;
  readonly timeScale: number;
  readonly seed: number;
}

/** Settings of an engine stand-in of the measured model. */
export const getEngineSettings = (variant: EngineVariant): Readonly<Record<string, unknown>> => ({
  ...ENGINE_MODEL,
  ...variant,
});
