import type { SideDecisions } from './sideDecisions.js';
import { acceptsConfiguration } from './configuration/acceptsConfiguration.js';
import { predictsInTime } from './estimates/predictsInTime.js';
import { raisePrediction } from './estimates/raisePrediction.js';
import { isGrantLeaseHeld } from './grants/isGrantLeaseHeld.js';
import { isGrantUsable } from './grants/isGrantUsable.js';
import { acceptsNewWork } from './leaving/acceptsNewWork.js';
import { mayStop } from './leaving/mayStop.js';
import { chooseNext } from './queue/chooseNext.js';
import { chooseShed } from './queue/chooseShed.js';
import { fateOfUnknownGrant } from './runs/fateOfUnknownGrant.js';
import { isAlreadyCalled } from './runs/isAlreadyCalled.js';
import { shouldCancel } from './runs/shouldCancel.js';
import { isOverloaded } from './shedding/isOverloaded.js';
import { mayReopen } from './shedding/mayReopen.js';
import { allowsLongPrefill } from './window/allowsLongPrefill.js';
import { hasRoom } from './window/hasRoom.js';
import { updateWindow } from './window/updateWindow.js';

/** The guards and policies of the product. */
export const DEFAULT_SIDE_DECISIONS: SideDecisions = {
  acceptsConfiguration,
  acceptsNewWork,
  isGrantLeaseHeld,
  isGrantUsable,
  isAlreadyCalled,
  fateOfUnknownGrant,
  chooseNext,
  chooseShed,
  hasRoom,
  allowsLongPrefill,
  updateWindow,
  raisePrediction,
  predictsInTime,
  isOverloaded,
  mayReopen,
  shouldCancel,
  mayStop,
};
