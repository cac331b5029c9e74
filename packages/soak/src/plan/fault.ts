import type { PathState } from '../system/pathState.js';

/** One thing that goes wrong, at a moment of the run in milliseconds. */
export type Fault =
  | { readonly kind: 'kill' | 'stop'; readonly atMs: number; readonly entry: number }
  | {
      readonly kind: 'pause';
      readonly atMs: number;
      readonly entry: number;
      readonly forMs: number;
    }
  /** Processes of no use take the processor. */
  | {
      readonly kind: 'starve';
      readonly atMs: number;
      readonly forMs: number;
      readonly processes: number;
    }
  /** A target resets part of its requests, in the middle of an answer or before it. */
  | {
      readonly kind: 'resets';
      readonly atMs: number;
      readonly target: number;
      readonly forMs: number;
    }
  | {
      readonly kind: 'slow';
      readonly atMs: number;
      readonly target: number;
      readonly forMs: number;
    }
  /** Callers come that many times as often. */
  | {
      readonly kind: 'burst';
      readonly atMs: number;
      readonly forMs: number;
      readonly times: number;
    }
  | {
      readonly kind: 'path';
      readonly atMs: number;
      readonly target: number;
      readonly state: Exclude<PathState, 'open'>;
      readonly forMs: number;
    };
