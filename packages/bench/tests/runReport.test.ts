import { expect, test } from 'vitest';
import type { EngineStats } from '@parsleyhall/stand-ins';
import type { CallOutcome } from '../src/load/callOutcome.js';
import type { PlannedCall } from '../src/load/plannedCall.js';
import { newRunReport } from '../src/report/newRunReport.js';
import type { RunReport } from '../src/report/runReport.js';

const SENT_AT_MS = 1_000_000;

const newCall = (label: string, tier: PlannedCall['tier']): PlannedCall => ({
  label,
  atMs: 0,
  entry: 0,
  team: 'team',
  tier,
  kind: 'draft',
  deadlineMs: 1_000,
  hangUpAfterMs: undefined,
  comesBack: false,
  work: {
    type: 'engine',
    model: 'model',
    prefix: 'shared',
    prefixTokens: 128,
    promptTokens: 200,
    answerTokens: 10,
    maximumTokens: 10,
    isStreaming: true,
  },
});

const newOutcome = (
  label: string,
  tier: PlannedCall['tier'],
  change: Partial<CallOutcome> = {},
): CallOutcome => ({
  call: newCall(label, tier),
  sentAtMs: SENT_AT_MS,
  result: 'answered',
  reason: '',
  status: 200,
  attempts: 1,
  refusals: [],
  endMs: 500,
  firstTokenMs: 100,
  gapsMs: [10, 20],
  ...change,
});

type Run = EngineStats['runsByLabel'][string];

const newRun = (change: Partial<Run> = {}): Run => ({
  runs: 1,
  prefillTokens: 200,
  cachedTokens: 0,
  tokensDone: 10,
  arrivedAtMs: SENT_AT_MS + 50,
  outcome: 'ended',
  ...change,
});

const report = (
  outcomes: readonly CallOutcome[],
  runsByLabel: Readonly<Record<string, Run>>,
): RunReport =>
  newRunReport({
    outcomes,
    engines: [
      {
        runsByRequest: {},
        runsByLabel,
        prefillTokensComputed: 1_000,
        prefillTokensSpared: 0,
        prefillTokensCancelled: 0,
        decodeTokens: 0,
        steps: 1,
        lateWallMs: 0,
        busyMs: 1,
        elapsedMs: 1,
        idleShare: 0,
      },
    ],
    serviceRunsByKey: { once: 1, twice: 2 },
    idleShare: 0,
    timeScale: 2,
  });

test('prefill is wasted by cause and a prefix computed again counts apart', () => {
  const { tiers, wastedShare, wastedShareWithPrefixes } = report(
    [
      newOutcome('good', 1),
      newOutcome('again', 1, { firstTokenMs: 300 }),
      newOutcome('late', 1, { endMs: 1_001 }),
      newOutcome('gone', 1, { result: 'hungUp' }),
      newOutcome('lost', 1, { result: 'unknown' }),
    ],
    {
      good: newRun(),
      again: newRun({ arrivedAtMs: SENT_AT_MS + 60, cachedTokens: 64 }),
      late: newRun({ prefillTokens: 30 }),
      gone: newRun({ prefillTokens: 20 }),
      lost: newRun({ prefillTokens: 10 }),
    },
  );
  const [first] = tiers;
  expect(first?.wasted).toEqual({ late: 30, hungUp: 20, lost: 10, refused: 0, prefixAgain: 64 });
  expect(first?.goodput).toBe(2 / 4);
  expect(first?.firstToken.p99).toBeCloseTo(600, 0);
  expect(wastedShare).toBeCloseTo(0.06);
  expect(wastedShareWithPrefixes).toBeCloseTo(0.124);
});

test('every broken promise is found', () => {
  const shed = { result: 'notRun', reason: 'shed', endMs: 100 } as const;
  const { checks } = report(
    [
      newOutcome('twice', 2),
      newOutcome('denied', 3, { ...shed, reason: 'deadline-exceeded' }),
      newOutcome('wrong', 1, { result: 'wrong' }),
      newOutcome('higher', 1, shed),
      newOutcome('lowest', 4, shed),
    ],
    {
      twice: newRun({ runs: 2, arrivedAtMs: SENT_AT_MS + 150 }),
      denied: newRun(),
    },
  );
  expect(checks).toEqual({
    dispatchedTwice: 1,
    ranThoughNotRun: 1,
    keysRunTwice: 1,
    wrongAnswers: 1,
    shedBeforeLowerTier: 1,
  });
});
