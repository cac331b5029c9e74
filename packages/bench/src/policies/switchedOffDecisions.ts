import type { EntryDecisions } from '@parsleyhall/entry';
import type { SideDecisions } from '@parsleyhall/side';

interface SwitchedOff {
  readonly entry: Partial<EntryDecisions>;
  readonly side: Partial<SideDecisions>;
}

/** Decisions of the product in a form that does nothing, by name, to measure what each contributes. */
export const SWITCHED_OFF_DECISIONS: Readonly<Record<string, SwitchedOff>> = {
  'deadline-prediction': { entry: {}, side: { predictsInTime: () => true } },
  'learned-window': { entry: {}, side: { updateWindow: (window) => window } },
  'long-prefill-limit': { entry: {}, side: { allowsLongPrefill: () => true } },
  shedding: { entry: {}, side: { isOverloaded: () => false } },
};
