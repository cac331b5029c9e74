import type { ScenarioSize } from './scenarioSize.js';

/** One timed step at one size. */
export interface SlopeRow {
  readonly role: 'entry' | 'side';
  readonly step: string;
  /** The dimension that grows, the others being at their least. */
  readonly dimension: keyof ScenarioSize;
  readonly size: number;
  readonly microsecondsPerEvent: number;
  readonly eventsPerSecond: number;
}
