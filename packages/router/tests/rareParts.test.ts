import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { parseRareParts } from '../src/peers/codec/parseRareParts.js';

const MAX_FAULT_CHARACTERS = 300;
const NAMES = ['quotaRecent', 'targetLimits', 'promptReport', 'rollouts', '__proto__'];

const nest = (depth: number): string => '['.repeat(depth) + ']'.repeat(depth);

/** Parses as the reader of frames does, which catches any error and logs it. */
const parse = (text: string): void => {
  try {
    parseRareParts(text);
  } catch (error) {
    expect(String(error).length).toBeLessThanOrEqual(MAX_FAULT_CHARACTERS);
  }
};

// Guards against a digest whose refusal takes the stack, or fills the log with what the digest holds.
describe('the rare parts of a digest', () => {
  it.each([10, 2_000, 20_000, 100_000])(
    'are refused with a short fault when nested %i deep',
    (depth) => {
      NAMES.forEach((name) => {
        parse(`{"${name}":${nest(depth)}}`);
        parse(`{"${name}":{"red":${nest(depth)}}}`);
        parse(`{"${name}":[{"target":${nest(depth)}}]}`);
      });
      parse(nest(depth));
    },
  );

  it('are refused with a short fault when they hold long lists and names', () => {
    const long = JSON.stringify(Array.from({ length: 50_000 }, () => 'a'));
    NAMES.forEach((name) => {
      parse(`{"${name}":${long}}`);
      parse(`{"${name}":{"${'n'.repeat(50_000)}":"x"}}`);
    });
  });

  it('of any JSON, and of any text, are parsed or refused', () => {
    const parts = fc.dictionary(fc.constantFrom(...NAMES), fc.jsonValue({ maxDepth: 4 }));
    fc.assert(
      fc.property(parts, fc.string({ unit: 'binary', maxLength: 100 }), (value, text) => {
        parse(JSON.stringify(value));
        parse(text);
      }),
      { seed: 6, numRuns: 1_000 },
    );
  });
});
