import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type Bundle, compileBundle, getCacheFile } from "./code_cache.ts";

describe("code cache", () => {
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

  it("uses the cache of an earlier run", () => {
    const first = compileBundle(file);
    first.run();
    writeFileSync(getCacheFile(file), first.createCache());
    const second = compileBundle(file);
    expect(second.isCached).toBe(true);
    expect(second.run()).toEqual(["function", file]);
  });

  it("allows a bundle to load another file with require", async () => {
    writeFileSync(join(folder, "later.cjs"), "exports.name = 'later';");
    writeFileSync(
      file,
      `exports.load = async () => (await require("./later.cjs")).name;`,
    );
    const first = compileBundle(file);
    await expect(load(first)).resolves.toBe("later");
    writeFileSync(getCacheFile(file), first.createCache());
    const second = compileBundle(file);
    expect(second.isCached).toBe(true);
    await expect(load(second)).resolves.toBe("later");
  });

  it("ignores the cache of another bundle of the same length", () => {
    writeFileSync(file, `module.exports = () => "first";`);
    const first = compileBundle(file);
    first.run();
    writeFileSync(getCacheFile(file), first.createCache());
    writeFileSync(file, `module.exports = () => "other";`);
    const second = compileBundle(file);
    expect(second.isCached).toBe(false);
    expect((second.run() as () => string)()).toBe("other");
  });

  it("compiles the source when the cache is corrupted", () => {
    writeFileSync(getCacheFile(file), "not machine code");
    const bundle = compileBundle(file);
    expect(bundle.isCached).toBe(false);
    expect(bundle.run()).toEqual(["function", file]);
  });
});

function load(bundle: Bundle): Promise<unknown> {
  const { load: loadLater } = bundle.run() as {
    readonly load: () => Promise<unknown>;
  };
  return loadLater();
}
