import type { AnswerFault } from '../system/answerFault.js';
import type { ProxyState } from '../system/proxyState.js';

/**
 * A fault that the soak injects: `atMs` milliseconds after the callers start, for `forMs` milliseconds if it lasts.
 * Entries and targets are given by their index.
 */
export type Fault =
  /** An entry is killed, or shut down gracefully, and restarted. */
  | { readonly kind: 'kill' | 'stop'; readonly atMs: number; readonly entry: number }
  /** The process of an entry is suspended. */
  | {
      readonly kind: 'pause';
      readonly atMs: number;
      readonly entry: number;
      readonly forMs: number;
    }
  /** Busy-looping processes compete for the CPU. */
  | {
      readonly kind: 'starve';
      readonly atMs: number;
      readonly forMs: number;
      readonly processes: number;
    }
  /** A target breaks off part of its requests, before or within the response. */
  | {
      readonly kind: 'resets';
      readonly atMs: number;
      readonly target: number;
      readonly forMs: number;
    }
  /** A target takes longer for each request. */
  | {
      readonly kind: 'slow';
      readonly atMs: number;
      readonly target: number;
      readonly forMs: number;
    }
  /** Part of a target's responses lack framing or a valid status, or have something in their streams that is no part of them. */
  | {
      readonly kind: AnswerFault;
      readonly atMs: number;
      readonly target: number;
      readonly forMs: number;
    }
  /** The request rate is multiplied by `times`. */
  | {
      readonly kind: 'burst';
      readonly atMs: number;
      readonly forMs: number;
      readonly times: number;
    }
  /** Part of the streams share a part of their prompt that crashes each target that begins to respond. */
  | {
      readonly kind: 'poisonPart';
      readonly atMs: number;
      readonly part: string;
      readonly share: number;
      readonly forMs: number;
    }
  /** A target states what it takes per second from all entries together. */
  | {
      readonly kind: 'limit';
      readonly atMs: number;
      readonly target: number;
      readonly perSecond: number;
      readonly forMs: number;
    }
  /** The proxy in front of a target disturbs its connections. */
  | {
      readonly kind: 'path';
      readonly atMs: number;
      readonly target: number;
      readonly state: Exclude<ProxyState, 'open'>;
      readonly forMs: number;
    };
