import { TIERS } from '@parsleyhall/common';
import type { BurnPoint } from './burnPoint.js';
import type { BurnReport } from './burnReport.js';
import type { BurnRow } from './burnRow.js';
import type { BurnSample } from './burnSample.js';
import { computeBurnRow } from './computeBurnRow.js';

const TIMELINE_SLICE_COUNT = 48;

interface ReportWindows {
  readonly untilMs: number;
  readonly longWindowMs: number;
  readonly shortWindowMs: number;
}

const computeTierRows = (
  samples: readonly BurnSample[],
  shortSinceMs: number,
): readonly BurnRow[] =>
  TIERS.map((tier) => ({ tier, tierSamples: samples.filter(({ row }) => row.tier === tier) }))
    .filter(({ tierSamples }) => tierSamples.length > 0)
    .map(({ tier, tierSamples }) => computeBurnRow({ tier, samples: tierSamples, shortSinceMs }));

const computeTeamRows = (
  samples: readonly BurnSample[],
  shortSinceMs: number,
): readonly BurnRow[] => {
  const groups = new Map<string, BurnSample[]>();
  for (const sample of samples) {
    const key = `${sample.row.tier} ${sample.row.team}`;
    const group = groups.get(key) ?? [];
    group.push(sample);
    groups.set(key, group);
  }
  return [...groups.values()]
    .flatMap((group) => {
      const [first] = group;
      return first === undefined
        ? []
        : [computeBurnRow({ ...first.row, samples: group, shortSinceMs })];
    })
    .sort(
      (left, right) =>
        left.tier - right.tier || (left.team ?? '').localeCompare(right.team ?? '', 'en'),
    );
};

const computeTimeline = (
  samples: readonly BurnSample[],
  { untilMs, longWindowMs }: ReportWindows,
): readonly BurnPoint[] => {
  const sliceMs = longWindowMs / TIMELINE_SLICE_COUNT;
  const startMs = untilMs - longWindowMs;
  return Array.from(
    { length: TIMELINE_SLICE_COUNT },
    (_, slice) => startMs + slice * sliceMs,
  ).flatMap((sinceMs) =>
    computeTierRows(
      samples.filter(({ toMs }) => toMs > sinceMs && toMs <= sinceMs + sliceMs),
      sinceMs,
    )
      .filter(({ counted }) => counted > 0)
      .map(({ tier, achieved }) => ({ atMs: sinceMs + sliceMs, tier, achieved })),
  );
};

/** Computes the burn report from the samples of the long window. */
export const computeBurnReport = (
  allSamples: readonly BurnSample[],
  presetInForce: string | undefined,
  windows: ReportWindows,
): BurnReport => {
  const { untilMs, longWindowMs, shortWindowMs } = windows;
  const samples = allSamples.filter(({ toMs }) => toMs > untilMs - longWindowMs && toMs <= untilMs);
  const shortSinceMs = untilMs - shortWindowMs;
  return {
    ...windows,
    presetInForce,
    tiers: computeTierRows(samples, shortSinceMs),
    teams: computeTeamRows(samples, shortSinceMs),
    timeline: computeTimeline(samples, windows),
  };
};
