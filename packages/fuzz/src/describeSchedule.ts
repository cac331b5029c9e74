import type { Arrival } from './schedule/arrival.js';
import type { Fault } from './schedule/fault.js';
import type { Schedule } from './schedule/schedule.js';

const describeArrival = (arrival: Arrival): string => {
  const { atMs, entry, kind, tier, chunks, deadlineMs, keyed, hangsUpAfterMs } = arrival;
  return [
    `${atMs} ms: tier ${tier} to entry-${entry} for a ${kind}, ${chunks} chunks in ${deadlineMs} ms`,
    ...(keyed === undefined ? [] : [`with key ${keyed}`]),
    ...(hangsUpAfterMs === undefined ? [] : [`hangs up after ${hangsUpAfterMs} ms`]),
  ].join(', ');
};

const describeFault = ({ atMs, kind, forMs, entry, side, variant }: Fault): string =>
  `${atMs} ms: ${kind} for ${forMs} ms (entry-${entry}, side-${side}, variant ${variant})`;

/** A schedule in order of time, for people. */
export const describeSchedule = ({ delaySeed, arrivals, faults }: Schedule): string =>
  [
    ...arrivals.map((arrival) => ({ atMs: arrival.atMs, line: describeArrival(arrival) })),
    ...faults.map((fault) => ({ atMs: fault.atMs, line: describeFault(fault) })),
  ]
    .sort((left, right) => left.atMs - right.atMs)
    .map(({ line }) => `  ${line}`)
    .concat(`  delay seed ${delaySeed}`)
    .join('\n');
