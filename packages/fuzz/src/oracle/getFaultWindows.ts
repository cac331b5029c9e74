import type { FaultKind } from '../schedule/faultKind.js';
import type { Schedule } from '../schedule/schedule.js';
import { WORLD_SETTINGS } from '../world/worldSettings.js';
import type { TimeWindow } from './timeWindow.js';

/** The times during which faults of these kinds last. */
export const getFaultWindows = (
  { faults }: Schedule,
  kinds: readonly FaultKind[],
): readonly TimeWindow[] =>
  faults
    .filter(({ kind }) => kinds.includes(kind))
    .map(({ atMs, forMs }) => ({
      fromMs: WORLD_SETTINGS.warmUpMs + atMs,
      untilMs: WORLD_SETTINGS.warmUpMs + atMs + forMs,
    }));
