import type { CallersServer } from '../callers/callersServer.js';
import type { LineWriter } from '../lines/lineWriter.js';
import type { PlannedStop } from './plannedStop.js';

/** From a stop's signal until no new connection is taken: the platform's checks notice within two periods. */
const LISTENING_MS = 2_600;
/** Kept back of the time for a stop, for the process to end. */
const MARGIN_MS = 400;
const CHECK_MS = 100;

/** Prepares the planned stop of a process that serves callers. */
export const createPlannedStop = ({
  getCallers,
  getStopWithinMs,
  announce,
  lines,
}: {
  readonly getCallers: () => CallersServer;
  readonly getStopWithinMs: () => number;
  /** Tells the other entries. */
  readonly announce: () => void;
  readonly lines: LineWriter;
}): PlannedStop => {
  let isStopping = false;
  let isClosed = false;
  let openStopped: () => void = () => undefined;
  const whenStopped = new Promise<void>((resolve) => {
    openStopped = resolve;
  });

  const check = (elapsedMs: number): boolean => {
    const callers = getCallers();
    if (elapsedMs < LISTENING_MS) {
      return false;
    }
    if (!isClosed) {
      isClosed = true;
      callers.stopListening();
    }
    callers.closeIdle();
    return callers.countOpen() === 0 || elapsedMs > getStopWithinMs() - MARGIN_MS;
  };

  return {
    isStopping: () => isStopping,
    isClosed: () => isClosed,
    whenStopped,
    request: () => {
      if (isStopping) {
        return;
      }
      isStopping = true;
      const startMs = performance.now();
      lines.write({ name: 'stopping', fields: { open: getCallers().countOpen() } });
      announce();
      const checking = setInterval(() => {
        if (check(performance.now() - startMs)) {
          clearInterval(checking);
          lines.write({ name: 'stopped', fields: { open: getCallers().countOpen() } });
          openStopped();
        }
      }, CHECK_MS);
    },
  };
};
