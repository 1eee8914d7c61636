import { createHeldParts } from "./held_parts.ts";

const parts = [
  { id: "system", tokens: 500 },
  { id: "draft", tokens: 9_000 },
];

describe("held parts", () => {
  it("count only behind all parts before them", () => {
    const held = createHeldParts();
    held.notePart("a", { id: "draft", tokens: 9_000 });
    expect(held.getHeldTokens("a", parts)).toBe(0);
    held.notePart("a", { id: "system", tokens: 500 });
    expect(held.getHeldTokens("a", parts)).toBe(9_500);
  });

  it("go with their target", () => {
    const held = createHeldParts();
    held.note("a", parts);
    held.note("b", parts);
    held.forgetTarget("a");
    expect(held.getHeldTokens("a", parts)).toBe(0);
    expect(held.getHeldTokens("b", parts)).toBe(9_500);
  });

  it("are told whole to a router that has missed them", () => {
    const held = createHeldParts();
    held.note("a", parts);
    const copy = createHeldParts();
    held.getAll().forEach(({ target, part }) => copy.notePart(target, part));
    expect(copy.getHeldTokens("a", parts)).toBe(9_500);
  });
});
