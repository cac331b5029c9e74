import type { ScenarioSize } from './scenarioSize.js';

/** Heap that one more of a dimension takes. */
export interface HeapSlope {
  readonly role: 'entry' | 'side';
  readonly dimension: keyof ScenarioSize;
  readonly bytesEach: number;
}
