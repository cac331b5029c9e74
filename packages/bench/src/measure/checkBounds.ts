import type { Bound } from './bound.js';
import type { FaultName } from './faultName.js';
import type { PolicyResult } from './policyResult.js';

const TIER_ONE_IN_TIME = 0.99;
const FIRST_TOKEN_MS = 1_200;
const BETWEEN_TOKENS_MS = 31;
const WASTED_SHARE = 0.01;
const WASTED_SHARE_UNDER_FAULT = 0.03;

const newUpperBound = (name: string, limit: number, measured: number): Bound => ({
  name,
  limit,
  measured,
  isMet: measured <= limit,
});

const newLowerBound = (name: string, limit: number, measured: number): Bound => ({
  name,
  limit,
  measured,
  isMet: measured >= limit,
});

/** Holds a result against the stated needs and the other policies on the same arrivals; times in engine milliseconds. */
export const checkBounds = (
  { report }: PolicyResult,
  others: readonly PolicyResult[],
  fault: FaultName,
): readonly Bound[] => {
  const [tierOne] = report.tiers;
  if (tierOne === undefined) {
    return [];
  }
  const wastedLimit = fault === 'none' ? WASTED_SHARE : WASTED_SHARE_UNDER_FAULT;
  const promises = Object.entries({ ...report.checks }).map(([name, count]) =>
    newUpperBound(name, 0, count),
  );
  const goodputs = others.flatMap((other) =>
    report.tiers.map(({ tier, goodput }, place) =>
      newLowerBound(
        `goodput of tier ${tier}, against ${other.policy}`,
        other.report.tiers[place]?.goodput ?? 0,
        goodput,
      ),
    ),
  );
  return [
    newLowerBound('tier one in time', TIER_ONE_IN_TIME, tierOne.goodput),
    newUpperBound('first token of tier one, p95 ms', FIRST_TOKEN_MS, tierOne.firstToken.p95),
    newUpperBound(
      'between tokens of tier one, p95 ms',
      BETWEEN_TOKENS_MS,
      tierOne.betweenTokens.p95,
    ),
    newUpperBound('wasted share of prefill', wastedLimit, report.wastedShare),
    newUpperBound(
      'wasted share of prefill with prefixes again',
      wastedLimit,
      report.wastedShareWithPrefixes,
    ),
    ...promises,
    ...goodputs,
  ];
};
