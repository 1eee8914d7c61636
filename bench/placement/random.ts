/** Seeded random numbers for experiments, through a library. */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

/** Draws numbers. */
export interface Random {
  /** Uniform in [0, 1). */
  next(): number;
  /** Uniform whole number in [0, limit). */
  below(limit: number): number;
  /** Exponential with a mean. */
  exponential(mean: number): number;
  /** Log-normal with mean 1 and the given sigma. */
  logNormal(sigma: number): number;
}

/** Creates a source of random numbers that repeats for a seed. */
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
