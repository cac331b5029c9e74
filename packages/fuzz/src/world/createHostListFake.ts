import type { SideId } from '@parsleyhall/common';
import type { ListedHost } from '@parsleyhall/entry';
import { getHostOf } from './getHostOf.js';
import { getSideIds } from './getSideIds.js';
import type { HostListFake } from './hostListFake.js';
import type { Simulation } from './simulation.js';
import { WORLD_SETTINGS } from './worldSettings.js';

/** Creates the platform's list; changes show after its lag. */
export const createHostListFake = (simulation: Simulation): HostListFake => {
  const leaving = new Set<SideId>();
  let outageUntilMs = 0;
  return {
    list: () =>
      simulation.getNowMs() < outageUntilMs
        ? undefined
        : getSideIds().map((side): ListedHost => ({
            host: getHostOf(side),
            side,
            address: side,
            isLeaving: leaving.has(side),
          })),
    setLeaving: (side, isLeaving) => {
      simulation.schedule(WORLD_SETTINGS.listLagMs, () => {
        if (isLeaving) {
          leaving.add(side);
        } else {
          leaving.delete(side);
        }
      });
    },
    setOutageUntil: (untilMs) => {
      outageUntilMs = Math.max(outageUntilMs, untilMs);
    },
  };
};
