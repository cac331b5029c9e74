import { build, decodeFromCompressedBase64, type Histogram } from 'hdr-histogram-js';
import { Either } from 'purify-ts';
import type { Tier } from '@parsleyhall/common';
import type { BurnRow } from './burnRow.js';
import type { BurnSample } from './burnSample.js';

const TOKENS_PER_PRICE = 1_000_000;
// Entries do not report other caller errors; requests over their team's limit are reported and excluded here.
const EXCLUDED_REASON = 'teamLimit';
const HISTOGRAM_BUCKET_BITS = 64;
const HISTOGRAM_SIGNIFICANT_DIGITS = 2;
const MAX_FIRST_TOKEN_MS = 86_400_000;

type GetSampleValue = (sample: BurnSample) => number;

const sum = (samples: readonly BurnSample[], getValue: GetSampleValue): number =>
  samples.reduce((total, sample) => total + getValue(sample), 0);

const sumFields = (fields: Readonly<Record<string, number>>): number =>
  Object.values(fields).reduce((total, value) => total + value, 0);

const getExcluded: GetSampleValue = ({ row }) => row.notRunByReason[EXCLUDED_REASON] ?? 0;

const getCounted: GetSampleValue = (sample) => sample.row.sent - getExcluded(sample);

const getErrorBudget: GetSampleValue = (sample) => getCounted(sample) * (1 - sample.objective);

const getMisses: GetSampleValue = (sample) => getCounted(sample) - sample.row.inTime;

const getWastedTokens: GetSampleValue = ({ row }) => sumFields(row.wastedPrefillTokensByCause);

const getWastedCost: GetSampleValue = (sample) =>
  (getWastedTokens(sample) * sample.pricePerMillionPrefillTokens) / TOKENS_PER_PRICE;

// Each sample contributes the budget of its own preset, so that the rate stays correct across a change of preset.
const computeBurnRate = (samples: readonly BurnSample[]): number | undefined => {
  const budget = sum(samples, getErrorBudget);
  const misses = sum(samples, getMisses);
  if (budget > 0) {
    return misses / budget;
  }
  return misses === 0 ? 0 : undefined;
};

const decodeHistogram = (text: string): readonly Histogram[] =>
  Either.encase(() => decodeFromCompressedBase64(text, HISTOGRAM_BUCKET_BITS, false))
    .map((histogram) => [histogram])
    .orDefault([]);

const mergeHistograms = (samples: readonly BurnSample[]): Histogram | undefined => {
  const histograms = samples
    .flatMap(({ row }) => row.firstTokenHistogram ?? [])
    .flatMap(decodeHistogram);
  if (histograms.length === 0) {
    return undefined;
  }
  const merged = build({
    bitBucketSize: HISTOGRAM_BUCKET_BITS,
    highestTrackableValue: MAX_FIRST_TOKEN_MS,
    numberOfSignificantValueDigits: HISTOGRAM_SIGNIFICANT_DIGITS,
    autoResize: true,
    useWebAssembly: false,
  });
  for (const histogram of histograms) {
    merged.add(histogram);
  }
  return merged;
};

const sumWastedTokensByCause = (
  samples: readonly BurnSample[],
): Readonly<Record<string, number>> => {
  const causes = [
    ...new Set(samples.flatMap(({ row }) => Object.keys(row.wastedPrefillTokensByCause))),
  ].sort();
  return Object.fromEntries(
    causes.map((cause) => [
      cause,
      sum(samples, ({ row }) => row.wastedPrefillTokensByCause[cause] ?? 0),
    ]),
  );
};

/** Aggregates the samples of one tier, or of one team within it. */
export const computeBurnRow = ({
  tier,
  team,
  samples,
  shortSinceMs,
}: {
  readonly tier: Tier;
  readonly team?: string;
  readonly samples: readonly BurnSample[];
  /** Start of the short window on the wall clock, in milliseconds. */
  readonly shortSinceMs: number;
}): BurnRow => {
  const counted = sum(samples, getCounted);
  const inTime = sum(samples, ({ row }) => row.inTime);
  const notCounted = sum(samples, getExcluded);
  const burnRateLong = computeBurnRate(samples);
  const firstTokens = mergeHistograms(samples);
  return {
    tier,
    team,
    counted,
    inTime,
    late: sum(samples, ({ row }) => row.late),
    notRun: sum(samples, ({ row }) => sumFields(row.notRunByReason)) - notCounted,
    deadlineExceeded: sum(samples, ({ row }) => row.deadlineExceeded),
    outcomeUnknown: sum(samples, ({ row }) => row.outcomeUnknown),
    failed: sum(samples, ({ row }) => row.failed),
    notCounted,
    objective: counted === 0 ? 0 : 1 - sum(samples, getErrorBudget) / counted,
    achieved: counted === 0 ? 1 : inTime / counted,
    budgetLeft: burnRateLong === undefined ? undefined : 1 - burnRateLong,
    burnRateLong,
    burnRateShort: computeBurnRate(samples.filter(({ toMs }) => toMs > shortSinceMs)),
    firstTokenP50Ms: firstTokens?.getValueAtPercentile(50),
    firstTokenP95Ms: firstTokens?.getValueAtPercentile(95),
    prefillTokens: sum(samples, ({ row }) => row.prefillTokens),
    wastedPrefillTokens: sum(samples, getWastedTokens),
    wastedPrefillTokensByCause: sumWastedTokensByCause(samples),
    wastedPrefillCost: sum(samples, getWastedCost),
  };
};
