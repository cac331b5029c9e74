import type { SideId } from '@parsleyhall/common';
import type { SideToEntryMessage } from '@parsleyhall/protocol';
import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { newPoolState } from '../pools/newPoolState.js';
import { askFate } from '../requests/askFate.js';
import { forEachRequest } from '../requests/forEachRequest.js';
import { placeUnplaced } from '../requests/placeUnplaced.js';
import { shareConfiguration } from '../configuration/shareConfiguration.js';
import { updateLink } from './updateLink.js';

type Hello = Extract<SideToEntryMessage, { type: 'hello' }>;

const joinPool = (step: EntryStep, side: SideId, { pool }: Hello): EntryStep => {
  const poolState = step.state.pools.get(pool) ?? newPoolState();
  const sides = poolState.sides.includes(side) ? poolState.sides : [...poolState.sides, side];
  return {
    state: { ...step.state, pools: step.state.pools.set(pool, { ...poolState, sides }) },
    effects: step.effects,
  };
};

/** Takes in what a side process says of itself, asks after grants in doubt there, and places waiting requests. */
export const greetSide = (
  scope: EntryScope,
  step: EntryStep,
  side: SideId,
  hello: Hello,
): EntryStep => {
  const { incarnation, host, dataCentre, pool, models, configurationVersion, isLeaving } = hello;
  const greeted = updateLink(step, side, {
    greeting: { incarnation, host, dataCentre, pool, models },
    configurationVersion,
    isLeaving,
  });
  const shared = shareConfiguration(joinPool(greeted, side, hello), side, configurationVersion);
  const bound = shared.state.sides.get(side)?.bound ?? [];
  const asked = forEachRequest(shared, bound, (current, tracked) =>
    askFate(scope, current, tracked),
  );
  return placeUnplaced(scope, asked, pool);
};
