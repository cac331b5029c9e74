import type { SideEvent } from '../sideEvent.js';

/** An event about one run on the target, by its type. */
export type TargetEvent<Type extends SideEvent['type']> = Extract<
  SideEvent,
  { readonly type: Type }
>;
