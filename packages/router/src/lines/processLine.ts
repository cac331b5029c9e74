import type { LineFields } from '@parsleyhall/routing';
import type { PROCESS_FIELDS } from './processFields.js';
import type { PROCESS_LINES } from './processLines.js';

type Catalogue = typeof PROCESS_LINES;

/** A line about the process, with just the fields that the catalogue gives it. */
export type ProcessLine = {
  readonly [Name in keyof Catalogue]: {
    readonly name: Name;
    readonly fields: LineFields<typeof PROCESS_FIELDS, Catalogue[Name]>;
  };
}[keyof Catalogue];
