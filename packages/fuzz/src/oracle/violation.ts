import type { PromiseName } from './promiseName.js';

/** A promise that was broken, with what was seen. */
export interface Violation {
  readonly promise: PromiseName;
  readonly atMs: number;
  /** The request, process or version concerned. */
  readonly subject: string;
  readonly detail: string;
}
