import type { SideState } from './sideState.js';
import type { SideContext } from './step/sideContext.js';
import type { SideStep } from './step/sideStep.js';
import { relaxWhenIdle } from './estimates/relaxWhenIdle.js';
import { sendPeriodic } from './peers/sendPeriodic.js';
import { dropHopeless } from './queue/dropHopeless.js';
import { assumePrefilled } from './runs/assumePrefilled.js';
import { expireRuns } from './runs/expireRuns.js';
import { reopenTier } from './shedding/reopenTier.js';
import { shedBacklog } from './shedding/shedBacklog.js';
import { updateDrain } from './shedding/updateDrain.js';
import { andThen } from './step/andThen.js';
import { checkOverdue } from './window/checkOverdue.js';

const passTime = (context: SideContext, state: SideState): SideState => {
  const seen = checkOverdue(
    context,
    assumePrefilled(context, expireRuns(context, relaxWhenIdle(context, state))),
  );
  const isEmpty = seen.queue.byRequest.size === 0;
  const drain = updateDrain(seen.drain, context.nowMs, isEmpty);
  return reopenTier(context, { ...seen, drain });
};

/** What the passing of time brings: retention, overdue tokens, hopeless and excess work, periodic messages. */
export const tick = (context: SideContext, state: SideState): SideStep => {
  const dropped = dropHopeless(context, passTime(context, state));
  const shed = andThen(dropped, (next) => shedBacklog(context, next));
  return andThen(shed, (next) => sendPeriodic(context, next));
};
