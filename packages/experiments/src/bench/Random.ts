import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A seeded generator of pseudorandom numbers. */
export class Random {
  private readonly generator;

  private constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /**
   * Creates a generator.
   * @param seed - Seed; equal seeds and streams give equal numbers.
   * @param stream - Number of the stream; the streams of one seed are independent of each other.
   */
  static create(seed: number, stream = 0): Random {
    return new Random(Math.imul(seed ^ 0x9e3779b9, 0x85ebca6b) ^ Math.imul(stream + 1, 0xc2b2ae35));
  }

  /** Gets a number that is uniformly distributed over [0, 1). */
  getUniform(): number {
    return uniformFloat64(this.generator);
  }

  /**
   * Gets an integer from 0 to below a limit.
   * @param limit - Exclusive upper limit.
   */
  getIndex(limit: number): number {
    return Math.floor(this.getUniform() * limit);
  }

  /**
   * Gets an exponentially distributed number.
   * @param mean - Mean of the distribution.
   */
  getExponential(mean: number): number {
    return -mean * Math.log(1 - this.getUniform());
  }

  /**
   * Gets a number that is uniformly distributed around a mean.
   * @param mean - Mean of the distribution.
   * @param spread - Largest deviation, as a fraction of the mean.
   */
  getUniformAround(mean: number, spread: number): number {
    return mean * (1 + spread * (2 * this.getUniform() - 1));
  }
}
