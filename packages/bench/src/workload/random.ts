import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A seeded source of random numbers. */
export class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A number from 0 up to but not including 1. */
  next(): number {
    return uniformFloat64(this.generator);
  }

  /** A whole number from low to high, each order of magnitude as likely as the others. */
  nextLogUniform(low: number, high: number): number {
    return Math.round(low * Math.exp(this.next() * Math.log(high / low)));
  }

  /** A time to the next event of a Poisson process with this mean. */
  nextExponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }

  /** One of the choices, by weight. */
  nextWeighted<Choice>(
    choices: readonly { readonly choice: Choice; readonly weight: number }[],
  ): Choice {
    const total = choices.reduce((sum, { weight }) => sum + weight, 0);
    let left = this.next() * total;
    for (const { choice, weight } of choices) {
      left -= weight;
      if (left < 0) {
        return choice;
      }
    }
    throw new RangeError('no choices');
  }
}
