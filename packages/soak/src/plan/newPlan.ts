import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Fault } from './fault.js';

const KINDS = ['kill', 'stop', 'pause', 'starve', 'resets', 'slow', 'burst', 'roll'] as const;
const PATH_STATES = ['delayed', 'silent', 'reset'] as const;
const MOST_PATHS = 2;
/** Sets the draws of paths apart from the others', so that a seed keeps these. */
const PATHS_SEED = 0x5bd1e995;
const FEWEST_FAULTS = 3;
const MOST_FAULTS = 6;
const SHORTEST_MS = 300;
const LONGEST_MS = 2_500;
const ROLL_GAP_MS = 700;
const MOST_STARVING = 24;
const MOST_TIMES = 4;

/** What goes wrong in the run of a seed, of this length in milliseconds. */
export const newPlan = ({
  seed,
  entries,
  targets,
  faultsMs,
}: {
  readonly seed: number;
  readonly entries: number;
  readonly targets: number;
  readonly faultsMs: number;
}): readonly Fault[] => {
  const newDraw = (own: number) => {
    const generator = xoroshiro128plus(own);
    return (low: number, high: number): number => uniformInt(generator, low, high);
  };
  const draw = newDraw(seed);
  const drawOfPaths = newDraw(seed ^ PATHS_SEED);

  const drawFault = (): readonly Fault[] => {
    const atMs = draw(0, faultsMs);
    const forMs = draw(SHORTEST_MS, LONGEST_MS);
    const entry = draw(0, entries - 1);
    const target = draw(0, targets - 1);
    const kind = KINDS[draw(0, KINDS.length - 1)] ?? 'kill';
    switch (kind) {
      case 'kill':
      case 'stop':
        return [{ kind, atMs, entry }];
      case 'pause':
        return [{ kind, atMs, entry, forMs }];
      case 'starve':
        return [{ kind, atMs, forMs, processes: draw(2, MOST_STARVING) }];
      case 'resets':
      case 'slow':
        return [{ kind, atMs, target, forMs }];
      case 'burst':
        return [{ kind, atMs, forMs, times: draw(2, MOST_TIMES) }];
      case 'roll':
        // All entries but one stop in turn, so that their callers come to the one that is left.
        return Array.from({ length: entries - 1 }, (_, index) => ({
          kind: 'stop' as const,
          atMs: atMs + index * ROLL_GAP_MS,
          entry: (entry + index) % entries,
        }));
    }
  };

  const drawPath = (): Fault => ({
    kind: 'path',
    atMs: drawOfPaths(0, faultsMs),
    forMs: drawOfPaths(SHORTEST_MS, LONGEST_MS),
    target: drawOfPaths(0, targets - 1),
    state: PATH_STATES[drawOfPaths(0, PATH_STATES.length - 1)] ?? 'silent',
  });

  return [
    ...Array.from({ length: draw(FEWEST_FAULTS, MOST_FAULTS) }, drawFault).flat(),
    ...Array.from({ length: drawOfPaths(0, MOST_PATHS) }, drawPath),
  ].sort((left, right) => left.atMs - right.atMs);
};
