/** Seeded random numbers for experiments. */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

/** A source of random numbers. */
export interface Random {
  /** Returns a uniformly distributed number in [0, 1). */
  next(): number;
  /** Returns a uniformly distributed integer in [0, limit). */
  below(limit: number): number;
  /** Returns an exponentially distributed number with the given mean. */
  exponential(mean: number): number;
  /** Returns a log-normally distributed number with mean 1. */
  logNormal(sigma: number): number;
}

/** Creates a source whose sequence is determined by its seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const next = (): number => uniformFloat64(generator);
  const exponential = (mean: number): number => -mean * Math.log(1 - next());

  return {
    next,
    below: (limit) => Math.floor(next() * limit),
    exponential,
    logNormal,
  };

  function logNormal(sigma: number): number {
    const radius = Math.sqrt(2 * exponential(1));
    const normal = radius * Math.cos(2 * Math.PI * next());
    return Math.exp(sigma * normal - sigma * sigma / 2);
  }
}
