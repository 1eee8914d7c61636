import { createCachedParts } from "./cached_parts.ts";

const parts = [
  { id: "system", tokens: 500 },
  { id: "draft", tokens: 9_000 },
];

describe("cached parts", () => {
  it("count only when all parts before them are cached", () => {
    const held = createCachedParts();
    held.recordPart("a", { id: "draft", tokens: 9_000 });
    expect(held.getCachedTokens("a", parts)).toBe(0);
    held.recordPart("a", { id: "system", tokens: 500 });
    expect(held.getCachedTokens("a", parts)).toBe(9_500);
  });

  it("are forgotten with their target", () => {
    const held = createCachedParts();
    held.recordParts("a", parts);
    held.recordParts("b", parts);
    held.forgetTarget("a");
    expect(held.getCachedTokens("a", parts)).toBe(0);
    expect(held.getCachedTokens("b", parts)).toBe(9_500);
  });

  it("can be copied to another router in full", () => {
    const held = createCachedParts();
    held.recordParts("a", parts);
    const copy = createCachedParts();
    held.getAll().forEach(({ target, part }) => copy.recordPart(target, part));
    expect(copy.getCachedTokens("a", parts)).toBe(9_500);
  });
});
