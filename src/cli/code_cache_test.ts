import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { compileBundle, getCacheFile } from "./code_cache.ts";

describe("the code cache", () => {
  let folder: string;
  let file: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "code-cache-"));
    file = join(folder, "bundle.cjs");
    writeFileSync(
      file,
      `module.exports = [typeof require("node:fs").read, __filename];`,
    );
  });
  afterEach(() => rmSync(folder, { recursive: true }));

  it("runs a bundle without a cache", () => {
    const bundle = compileBundle(file);
    expect(bundle.isCached).toBe(false);
    expect(bundle.run()).toEqual(["function", file]);
  });

  it("takes the code that an earlier run has left", () => {
    const first = compileBundle(file);
    first.run();
    writeFileSync(getCacheFile(file), first.createCache());
    const second = compileBundle(file);
    expect(second.isCached).toBe(true);
    expect(second.run()).toEqual(["function", file]);
  });

  it("compiles the source when the cache is spoiled", () => {
    writeFileSync(getCacheFile(file), "not machine code");
    const bundle = compileBundle(file);
    expect(bundle.isCached).toBe(false);
    expect(bundle.run()).toEqual(["function", file]);
  });
});
