import fc from 'fast-check';
import { WORLD_SETTINGS } from '../world/worldSettings.js';
import type { Fault } from './fault.js';
import type { FaultKind } from './faultKind.js';

const SHORTEST_FAULT_MS = 20;
const VARIANTS = 12;

/** Failures of the kinds given, at any time. */
export const newFaultArbitrary = (kinds: readonly FaultKind[]): fc.Arbitrary<Fault> =>
  fc.record({
    kind: fc.constantFrom(...kinds),
    atMs: fc.nat(WORLD_SETTINGS.scheduleMs),
    forMs: fc.integer({ min: SHORTEST_FAULT_MS, max: WORLD_SETTINGS.longestFaultMs }),
    entry: fc.nat(WORLD_SETTINGS.entries - 1),
    side: fc.nat(WORLD_SETTINGS.sides - 1),
    variant: fc.nat(VARIANTS - 1),
  });
