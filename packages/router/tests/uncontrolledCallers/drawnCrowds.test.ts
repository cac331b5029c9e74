import { expect, test } from 'vitest';
import type { CallerKind } from '../support/uncontrolledCallers/drawn/callerKind.js';
import { drawCrowd } from '../support/uncontrolledCallers/drawn/drawCrowd.js';
import { playDrawnCrowd } from '../support/uncontrolledCallers/drawn/playDrawnCrowd.js';
import { expectSurvival } from '../support/uncontrolledCallers/expectSurvival.js';
import { startRouterUnderLoad } from '../support/uncontrolledCallers/startRouterUnderLoad.js';
import { waitUntil } from '../support/uncontrolledCallers/waitUntil.js';

const MAX_BODY_BYTES = 1_048_576;
const HOST_MEMORY_MB = 200;
/** The descriptors of a process without callers, with some room. */
const MAX_DESCRIPTORS_IN_CALM = 60;
/** The last ones have failed once. */
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 29, 1014, 1031, 1042];

/** Seeds of crowds whose requests ahead get no response. */
const SEEDS_BEHIND_SILENCE = [3001, 3002, 3003, 3004];
/** The silent target takes all requests of a crowd, and the ordinary one. */
const SLOTS = 2_000;

/** The seeds of a run by hand: CROWD_SEEDS="FIRST COUNT". */
const [firstSeed = 0, count] = process.env.CROWD_SEEDS?.split(' ').map(Number) ?? [];
const chooseSeeds = (defaultSeeds: readonly number[]): readonly number[] =>
  count === undefined
    ? defaultSeeds
    : Array.from({ length: count }, (_, index) => firstSeed + index);

// Guards against the next crowd, which no other test names.
test.each(chooseSeeds(SEEDS))('the crowd of seed %i', async (seed) => {
  const crowd = drawCrowd(seed, MAX_BODY_BYTES);
  await using router = await startRouterUnderLoad({
    maxBodyBytes: MAX_BODY_BYTES,
    callerLimits: { hostMemoryMb: HOST_MEMORY_MB },
  });
  await playDrawnCrowd(router.callersAddress, crowd, async () => {
    await expectSurvival(router);
  });
  expect(await waitUntil(() => router.countDescriptors() < MAX_DESCRIPTORS_IN_CALM)).toBe(true);
  await expectSurvival(router);
});

const waitForResponse = (kind: CallerKind): CallerKind => ({
  ...kind,
  requestsAhead: Math.max(kind.requestsAhead, 1),
});

// Guards against what piles up on connections while the response to their first request is due.
test.each(chooseSeeds(SEEDS_BEHIND_SILENCE))(
  'the crowd of seed %i, behind requests without a response',
  async (seed) => {
    const { waves } = drawCrowd(seed, MAX_BODY_BYTES);
    await using router = await startRouterUnderLoad({
      maxBodyBytes: MAX_BODY_BYTES,
      slots: SLOTS,
      callerLimits: { hostMemoryMb: HOST_MEMORY_MB },
    });
    await playDrawnCrowd(
      router.callersAddress,
      { waves: waves.map((kinds) => kinds.map(waitForResponse)) },
      async () => {
        await expectSurvival(router);
      },
      { pathAhead: '/data/silent' },
    );
    expect(await waitUntil(() => router.countDescriptors() < MAX_DESCRIPTORS_IN_CALM)).toBe(true);
    await expectSurvival(router);
  },
);
