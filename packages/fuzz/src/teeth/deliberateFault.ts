import type { EntryDecisions } from '@parsleyhall/entry';
import type { SideDecisions } from '@parsleyhall/side';
import type { PromiseName } from '../oracle/promiseName.js';
import type { FaultKind } from '../schedule/faultKind.js';

/** A guard taken out on purpose, with the promise that then has to be seen broken. */
export interface DeliberateFault {
  readonly name: string;
  readonly promise: PromiseName;
  /** Failures under which the guard matters; none for a calm schedule. */
  readonly kinds: readonly FaultKind[];
  readonly entry?: Partial<EntryDecisions>;
  readonly side?: Partial<SideDecisions>;
}
