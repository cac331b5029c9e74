import type { Delivery } from '../codec/delivery.js';
import type { Reception } from './reception.js';
import { RECEPTION_WINDOW } from './receptionWindow.js';

const KEPT_MASK = 2 ** RECEPTION_WINDOW.keptFrames - 1;

const shiftBits = (bits: number, frames: number): number =>
  frames >= RECEPTION_WINDOW.keptFrames ? 0 : (bits << frames) & KEPT_MASK;

const getBit = (delivery: Delivery, age: number): number =>
  delivery === 'extra' || age >= RECEPTION_WINDOW.keptFrames ? 0 : 1 << age;

type ChangingReception = { -readonly [Field in keyof Reception]: Reception[Field] };

/** Records in place that a frame has arrived, since this happens with each of several hundred frames a second. */
export const recordFrame = (
  reception: ChangingReception,
  { frameNumber, delivery }: { readonly frameNumber: number; readonly delivery: Delivery },
  nowMs: number,
): void => {
  const newestFrame = Math.max(reception.newestFrame, frameNumber);
  const shifted = shiftBits(reception.arrivedBits, newestFrame - reception.newestFrame);
  reception.newestFrame = newestFrame;
  reception.arrivedBits = shifted | getBit(delivery, newestFrame - frameNumber);
  reception.heardAtMs = nowMs;
  if (delivery !== 'relayed') {
    reception.newestOwnFrame = Math.max(reception.newestOwnFrame, frameNumber);
  }
};
