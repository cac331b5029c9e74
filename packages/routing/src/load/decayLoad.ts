import type { AdmittedLoad } from '../load/admittedLoad.js';

/** Time constant of the exponential decay of admitted work. */
const DECAY_MS = 1_000;

/** Decays an admitted load to a later moment and adds new work of this expected duration. */
export const decayLoad = (load: AdmittedLoad, nowMs: number, addedMs = 0): AdmittedLoad => ({
  ...load,
  slots: load.slots * Math.exp(-Math.max(0, nowMs - load.atMs) / DECAY_MS) + addedMs / DECAY_MS,
  atMs: nowMs,
});
