import type { LoadReport } from './loadReport.js';

/** Estimates the requests that all entries have in flight at a target from counts and the target's latest report. */
export const estimateInFlight = ({
  own,
  peers,
  load,
  freshness,
}: {
  /** Requests of this entry. */
  readonly own: number;
  /** Requests of the other entries by their latest digests. */
  readonly peers: number;
  readonly load: LoadReport;
  /** The weight of the report, from 0 to 1. */
  readonly freshness: number;
}): number => Math.max(own, own + peers + Math.round(load.correction * freshness));
