import type { EntryId, Incarnation } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import { andThen } from '../step/andThen.js';
import { newStep } from '../step/newStep.js';
import { cancelRun } from './cancelRun.js';

/** Treats the runs of an entry's earlier incarnations as if their callers had hung up. */
export const cancelOrphans = (
  context: SideContext,
  state: SideState,
  { entry, incarnation }: { readonly entry: EntryId; readonly incarnation: Incarnation },
): SideStep =>
  state.runs.byId
    .filter(
      (run) =>
        run.entry === entry &&
        run.entryIncarnation !== undefined &&
        run.entryIncarnation !== incarnation,
    )
    .reduce(
      (step, { grantId }) => andThen(step, (next) => cancelRun(context, next, { entry, grantId })),
      newStep(state),
    );
