import type { EntryDecisions } from '@parsleyhall/entry';
import type { SideDecisions } from '@parsleyhall/side';
import { judge } from './oracle/judge.js';
import type { Violation } from './oracle/violation.js';
import type { Schedule } from './schedule/schedule.js';
import { runWorld } from './world/runWorld.js';

/** Runs a schedule, with some decisions replaced, and gives the promises it broke. */
export const findViolations = (
  schedule: Schedule,
  decisions: {
    readonly entry?: Partial<EntryDecisions>;
    readonly side?: Partial<SideDecisions>;
  } = {},
): readonly Violation[] => judge(schedule, runWorld(schedule, decisions));
