import type { acceptsConfiguration } from './configuration/acceptsConfiguration.js';
import type { predictsInTime } from './estimates/predictsInTime.js';
import type { raisePrediction } from './estimates/raisePrediction.js';
import type { isGrantLeaseHeld } from './grants/isGrantLeaseHeld.js';
import type { isGrantUsable } from './grants/isGrantUsable.js';
import type { acceptsNewWork } from './leaving/acceptsNewWork.js';
import type { mayStop } from './leaving/mayStop.js';
import type { chooseNext } from './queue/chooseNext.js';
import type { chooseShed } from './queue/chooseShed.js';
import type { fateOfUnknownGrant } from './runs/fateOfUnknownGrant.js';
import type { isAlreadyCalled } from './runs/isAlreadyCalled.js';
import type { shouldCancel } from './runs/shouldCancel.js';
import type { isOverloaded } from './shedding/isOverloaded.js';
import type { mayReopen } from './shedding/mayReopen.js';
import type { allowsLongPrefill } from './window/allowsLongPrefill.js';
import type { hasRoom } from './window/hasRoom.js';
import type { updateWindow } from './window/updateWindow.js';

/** The guards and policies of a side process; each is the one place that decides its matter. */
export interface SideDecisions {
  readonly acceptsConfiguration: typeof acceptsConfiguration;
  readonly acceptsNewWork: typeof acceptsNewWork;
  readonly isGrantLeaseHeld: typeof isGrantLeaseHeld;
  readonly isGrantUsable: typeof isGrantUsable;
  readonly isAlreadyCalled: typeof isAlreadyCalled;
  readonly fateOfUnknownGrant: typeof fateOfUnknownGrant;
  readonly chooseNext: typeof chooseNext;
  readonly chooseShed: typeof chooseShed;
  readonly hasRoom: typeof hasRoom;
  readonly allowsLongPrefill: typeof allowsLongPrefill;
  readonly updateWindow: typeof updateWindow;
  readonly raisePrediction: typeof raisePrediction;
  readonly predictsInTime: typeof predictsInTime;
  readonly isOverloaded: typeof isOverloaded;
  readonly mayReopen: typeof mayReopen;
  readonly shouldCancel: typeof shouldCancel;
  readonly mayStop: typeof mayStop;
}
