import type { BuildOptions } from "esbuild";

export const bundleOptions: BuildOptions;
