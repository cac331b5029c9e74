import type { KindOfWork } from './kindOfWork.js';

/** One of the users' deployments as the tool loads it. */
export interface Deployment {
  readonly name: 'nilegate' | 'bureau';
  readonly dataCentres: readonly string[];
  readonly enginePool: string;
  readonly servicePool: string;
  readonly model: string;
  readonly engineSpeeds: readonly number[];
  readonly services: number;
  readonly dataCentreDelayMs: number;
  readonly callerDelayMs: number;
  readonly teams: readonly { readonly name: string; readonly share: number }[];
  readonly kinds: readonly KindOfWork[];
}
