import type { LogFields } from './logFields.js';
import type { OBSERVATIONS } from './observations.js';
import type { OBSERVED_FIELDS } from './observedFields.js';

type Catalogue = typeof OBSERVATIONS;

/** An effect that logs and counts a decision, with exactly the fields that the catalogue lists for it. */
export type Observation = {
  readonly [Name in keyof Catalogue]: {
    readonly type: 'observe';
    readonly name: Name;
    readonly fields: LogFields<typeof OBSERVED_FIELDS, Catalogue[Name]>;
  };
}[keyof Catalogue];
