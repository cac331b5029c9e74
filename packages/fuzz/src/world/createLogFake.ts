import type { LogFake } from './logFake.js';
import type { Simulation } from './simulation.js';

type Logged = ReturnType<LogFake['getHistory']>[number];

const SLOW_DELAY_MS = 400;
const PAGE_RECORDS = 8;

/** Creates the platform's log. An append under way takes effect also when its sender has died. */
export const createLogFake = (
  simulation: Simulation,
  getDelay: (bound: number) => number,
): LogFake => {
  const streams = new Map<string, { readonly records: Logged[]; earliest: number }>();
  let outageUntilMs = 0;
  let slowUntilMs = 0;
  let answersToLose = 0;
  const getStream = (name: string): { readonly records: Logged[]; earliest: number } => {
    const stream = streams.get(name) ?? { records: [], earliest: 1 };
    streams.set(name, stream);
    return stream;
  };
  const isOut = (): boolean => simulation.getNowMs() < outageUntilMs;
  const getTravelMs = (): number =>
    1 + getDelay(5) + (simulation.getNowMs() < slowUntilMs ? getDelay(SLOW_DELAY_MS) : 0);
  const takeAppend = (name: string, values: readonly unknown[]): boolean => {
    if (isOut()) {
      return false;
    }
    const { records } = getStream(name);
    for (const value of values) {
      records.push({ offset: records.length + 1, appendedAtMs: simulation.getNowMs(), value });
    }
    if (answersToLose === 0) {
      return true;
    }
    answersToLose -= 1;
    return false;
  };
  return {
    append: (name, values, done) => {
      simulation.schedule(getTravelMs(), () => {
        const isAppended = takeAppend(name, values);
        simulation.schedule(getTravelMs(), () => {
          done(isAppended);
        });
      });
    },
    read: (name, from, done) => {
      simulation.schedule(getTravelMs(), () => {
        const { records, earliest } = getStream(name);
        if (isOut()) {
          done({ type: 'failed' });
          return;
        }
        if (from < earliest) {
          done({ type: 'trimmed', earliestOffset: earliest });
          return;
        }
        const page = records.slice(from - 1, from - 1 + PAGE_RECORDS);
        const nextOffset = from + page.length;
        const isAtEnd = nextOffset > records.length;
        simulation.schedule(getTravelMs(), () => {
          done({ type: 'page', records: page, nextOffset, isAtEnd });
        });
      });
    },
    trim: (name, beforeMs) => {
      const stream = getStream(name);
      const kept = stream.records.findIndex(({ appendedAtMs }) => appendedAtMs >= beforeMs);
      stream.earliest = kept === -1 ? stream.records.length + 1 : kept + 1;
    },
    getHistory: (name) => getStream(name).records,
    setOutageUntil: (untilMs) => {
      outageUntilMs = Math.max(outageUntilMs, untilMs);
    },
    setSlowUntil: (untilMs) => {
      slowUntilMs = Math.max(slowUntilMs, untilMs);
    },
    loseAnswers: (count) => {
      answersToLose += count;
    },
  };
};
