import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { POISON_PARTS } from './poisonParts.js';
import type { Fault } from './fault.js';

const FAULT_KINDS = ['kill', 'stop', 'pause', 'starve', 'resets', 'slow', 'burst', 'roll'] as const;
const FAULTY_PROXY_STATES = ['delayed', 'silent', 'reset'] as const;
const MAX_PATH_FAULTS = 2;
/** Derives a second generator for network faults, so that a seed yields the same other faults with and without them. */
const PATH_FAULTS_SEED_MASK = 0x5bd1e995;
/** The same for faults that requests and targets bring about by what they state. */
const STATEMENT_FAULTS_SEED_MASK = 0x2c1b3c6d;
/** The same for faults of targets' responses. */
const ANSWER_FAULTS_SEED_MASK = 0x6f2d9b17;
/** The same for responses with invalid statuses. */
const INVALID_STATUS_SEED_MASK = 0x3a8c51d3;
const MAX_INVALID_STATUS_FAULTS = 2;
const ANSWER_FAULTS = ['unframed', 'garbage', 'garbage', 'lookAlike'] as const;
const MAX_ANSWER_FAULTS = 4;
/** Long enough that requests with the part still come when it must have been recognized. */
const MIN_STATEMENT_DURATION_MS = 6_000;
const MAX_STATEMENT_DURATION_MS = 9_000;
const MIN_POISON_PERCENT = 4;
const MAX_POISON_PERCENT = 12;
const MAX_LIMITS = 2;
const MIN_LIMIT_PER_SECOND = 1;
const MAX_LIMIT_PER_SECOND = 9;
const PERCENT = 100;
const MIN_FAULTS = 3;
const MAX_FAULTS = 6;
const MIN_FAULT_DURATION_MS = 300;
const MAX_FAULT_DURATION_MS = 2_500;
const ROLLING_STOP_INTERVAL_MS = 700;
const MAX_STARVING_PROCESSES = 24;
const MAX_BURST_FACTOR = 4;

/** Draws the faults of a seed, in the order of their starts; single faults start within `faultDurationMs`. */
export const createFaultPlan = ({
  seed,
  entries,
  targets,
  faultDurationMs,
}: {
  readonly seed: number;
  readonly entries: number;
  readonly targets: number;
  readonly faultDurationMs: number;
}): readonly Fault[] => {
  const createDrawInteger = (generatorSeed: number) => {
    const generator = xoroshiro128plus(generatorSeed);
    return (low: number, high: number): number => uniformInt(generator, low, high);
  };
  const drawInteger = createDrawInteger(seed);
  const drawPathInteger = createDrawInteger(seed ^ PATH_FAULTS_SEED_MASK);

  const drawFaults = (): readonly Fault[] => {
    const atMs = drawInteger(0, faultDurationMs);
    const forMs = drawInteger(MIN_FAULT_DURATION_MS, MAX_FAULT_DURATION_MS);
    const entry = drawInteger(0, entries - 1);
    const target = drawInteger(0, targets - 1);
    const kind = FAULT_KINDS[drawInteger(0, FAULT_KINDS.length - 1)] ?? 'kill';
    switch (kind) {
      case 'kill':
      case 'stop':
        return [{ kind, atMs, entry }];
      case 'pause':
        return [{ kind, atMs, entry, forMs }];
      case 'starve':
        return [{ kind, atMs, forMs, processes: drawInteger(2, MAX_STARVING_PROCESSES) }];
      case 'resets':
      case 'slow':
        return [{ kind, atMs, target, forMs }];
      case 'burst':
        return [{ kind, atMs, forMs, times: drawInteger(2, MAX_BURST_FACTOR) }];
      case 'roll':
        // All entries but one shut down in turn, so that their callers move to the remaining one.
        return Array.from({ length: entries - 1 }, (_, index) => ({
          kind: 'stop' as const,
          atMs: atMs + index * ROLLING_STOP_INTERVAL_MS,
          entry: (entry + index) % entries,
        }));
    }
  };

  const drawPathFault = () => ({
    kind: 'path' as const,
    atMs: drawPathInteger(0, faultDurationMs),
    forMs: drawPathInteger(MIN_FAULT_DURATION_MS, MAX_FAULT_DURATION_MS),
    target: drawPathInteger(0, targets - 1),
    state: FAULTY_PROXY_STATES[drawPathInteger(0, FAULTY_PROXY_STATES.length - 1)] ?? 'silent',
  });

  const drawStatementFaults = (): readonly Fault[] => {
    const draw = createDrawInteger(seed ^ STATEMENT_FAULTS_SEED_MASK);
    const drawTimes = () => ({
      atMs: draw(0, faultDurationMs / 2),
      forMs: draw(MIN_STATEMENT_DURATION_MS, MAX_STATEMENT_DURATION_MS),
    });
    const poisonParts = POISON_PARTS.slice(0, draw(0, POISON_PARTS.length)).map((part) => ({
      kind: 'poisonPart' as const,
      ...drawTimes(),
      part,
      share: draw(MIN_POISON_PERCENT, MAX_POISON_PERCENT) / PERCENT,
    }));
    const limits = Array.from({ length: draw(0, MAX_LIMITS) }, () => ({
      kind: 'limit' as const,
      ...drawTimes(),
      target: draw(0, targets - 1),
      perSecond: draw(MIN_LIMIT_PER_SECOND, MAX_LIMIT_PER_SECOND),
    }));
    return [...poisonParts, ...limits];
  };

  const statementFaults = drawStatementFaults();
  const pathFaults = Array.from({ length: drawPathInteger(0, MAX_PATH_FAULTS) }, drawPathFault);

  /** Whether the connections of a target may be reset between any two of its writes. */
  const canBeReset = (target: number): boolean =>
    statementFaults.some(({ kind }) => kind === 'poisonPart') ||
    pathFaults.some((fault) => fault.target === target);

  const drawAnswerFaults = (): readonly Fault[] => {
    const draw = createDrawInteger(seed ^ ANSWER_FAULTS_SEED_MASK);
    return Array.from({ length: draw(0, MAX_ANSWER_FAULTS) }, () => {
      const kind = ANSWER_FAULTS[draw(0, ANSWER_FAULTS.length - 1)] ?? 'unframed';
      const atMs = draw(0, faultDurationMs);
      const forMs = draw(MIN_FAULT_DURATION_MS, MAX_FAULT_DURATION_MS);
      const target = draw(0, targets - 1);
      // Nothing tells an event that looks like the next one from that if it is reset before that.
      const isTold = kind !== 'lookAlike' || !canBeReset(target);
      return { kind: isTold ? kind : 'garbage', atMs, forMs, target };
    });
  };

  const drawInvalidStatusFaults = (): readonly Fault[] => {
    const draw = createDrawInteger(seed ^ INVALID_STATUS_SEED_MASK);
    return Array.from({ length: draw(0, MAX_INVALID_STATUS_FAULTS) }, () => ({
      kind: 'invalidStatus' as const,
      atMs: draw(0, faultDurationMs),
      forMs: draw(MIN_FAULT_DURATION_MS, MAX_FAULT_DURATION_MS),
      target: draw(0, targets - 1),
    }));
  };

  return [
    ...statementFaults,
    ...drawAnswerFaults(),
    ...drawInvalidStatusFaults(),
    ...Array.from({ length: drawInteger(MIN_FAULTS, MAX_FAULTS) }, drawFaults).flat(),
    ...pathFaults,
  ].sort((left, right) => left.atMs - right.atMs);
};
