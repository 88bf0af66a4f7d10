import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A seeded stream of random numbers. */
export class Random {
  private readonly generator;

  private constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /**
   * Creates a stream.
   * @param seed - Seed; equal seeds give equal streams.
   * @param stream - Number of the stream below the seed.
   */
  static create(seed: number, stream = 0): Random {
    return new Random(Math.imul(seed ^ 0x9e3779b9, 0x85ebca6b) ^ Math.imul(stream + 1, 0xc2b2ae35));
  }

  /** Gets a number from 0 to below 1. */
  getUniform(): number {
    return uniformFloat64(this.generator);
  }

  /**
   * Gets a whole number from 0 to below a limit.
   * @param limit - The limit.
   */
  getIndex(limit: number): number {
    return Math.floor(this.getUniform() * limit);
  }

  /**
   * Gets an exponentially distributed number.
   * @param mean - Its mean.
   */
  getExponential(mean: number): number {
    return -mean * Math.log(1 - this.getUniform());
  }

  /**
   * Gets a number spread evenly around a mean.
   * @param mean - The mean.
   * @param spread - Largest difference as a share of the mean.
   */
  getUniformAround(mean: number, spread: number): number {
    return mean * (1 + spread * (2 * this.getUniform() - 1));
  }
}
