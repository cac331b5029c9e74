import type { Inflow } from './inflow.js';

/** How long work that was taken in goes on counting. */
const MEMORY_MS = 1_000;

/** An inflow as of a later moment, with work of so many milliseconds added. */
export const decayInflow = (inflow: Inflow, nowMs: number, addedMs = 0): Inflow => ({
  ...inflow,
  slots:
    inflow.slots * Math.exp(-Math.max(0, nowMs - inflow.atMs) / MEMORY_MS) + addedMs / MEMORY_MS,
  atMs: nowMs,
});
