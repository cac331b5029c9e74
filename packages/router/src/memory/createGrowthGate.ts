import type { GrowthGate } from './growthGate.js';

/** So many responses may grow while the budget is short, so that some of them are completed and release their memory. */
const MAX_GROWING_WHILE_SHORT = 4;

/** Creates a gate that nobody waits at. */
export const createGrowthGate = <Holder>(isShort: () => boolean): GrowthGate<Holder> => {
  const growing = new Set<Holder>();
  const waiting = new Map<Holder, () => void>();
  let isResumeDue = false;

  const enter = (holder: Holder): boolean => {
    if (!isShort() || growing.has(holder)) {
      return true;
    }
    if (growing.size >= MAX_GROWING_WHILE_SHORT) {
      return false;
    }
    growing.add(holder);
    return true;
  };

  /** Resuming one may make the budget short again at once. */
  const resumeWaiting = (): void => {
    isResumeDue = false;
    for (const [holder, resume] of [...waiting]) {
      if (!enter(holder)) {
        return;
      }
      waiting.delete(holder);
      resume();
    }
  };

  const notifyReleased = (): void => {
    if (waiting.size > 0 && !isResumeDue) {
      isResumeDue = true;
      setImmediate(resumeWaiting);
    }
  };

  return {
    mayGrow: (holder, resume) => {
      if (enter(holder)) {
        return true;
      }
      waiting.set(holder, resume);
      return false;
    },
    leave: (holder) => {
      growing.delete(holder);
      waiting.delete(holder);
      notifyReleased();
    },
    notifyReleased,
  };
};
