import type { ListedTarget } from '../../src/index.js';

/** Targets of one service with two slots each. */
export const newTargets = (
  count: number,
  changes: Partial<ListedTarget> = {},
): readonly ListedTarget[] =>
  Array.from({ length: count }, (_, index) => ({
    id: `target-${index}`,
    service: 'one',
    address: `10.0.0.${index}:80`,
    dataCentre: 'here',
    slots: 2,
    isLeaving: false,
    ...changes,
  }));
