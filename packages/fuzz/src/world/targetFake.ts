import type { Incarnation, RequestId } from '@parsleyhall/common';
import type { TargetCall } from '@parsleyhall/protocol';

/** Where the answer of a call goes. */
interface AnswerSink {
  readonly onHead: (status: number, headers: Readonly<Record<string, string>>) => void;
  readonly onBytes: (bytes: Uint8Array) => void;
  readonly onEnd: (chunks: number) => void;
  readonly onFailed: (outcome: 'notRun' | 'unknown') => void;
  readonly onUnknown: () => void;
}

/** A model engine or a plain service at its interface. */
export interface TargetFake {
  readonly call: (request: {
    readonly requestId: RequestId;
    readonly incarnation: Incarnation;
    readonly call: TargetCall;
    readonly sink: AnswerSink;
  }) => void;
  readonly resume: (request: {
    readonly requestId: RequestId;
    readonly fromByte: number;
    readonly sink: AnswerSink;
  }) => void;
  readonly cancel: (requestId: RequestId) => void;
  readonly getRunning: () => number;
  readonly slowDown: (forMs: number, factor: number) => void;
  readonly stall: (forMs: number) => void;
  readonly die: (forMs: number) => void;
}
