import { loadBodyDigests } from "./body_digest.ts";

describe("body digest", () => {
  it("does not depend on how the body is split", async () => {
    const digests = await loadBodyDigests();
    const unsplit = digests.create();
    unsplit.update(Buffer.from("one two three"));
    const cut = digests.create();
    cut.update(Buffer.from("one t"));
    cut.update(Buffer.from("wo three"));
    expect(cut.getHex()).toBe(unsplit.getHex());
    expect(unsplit.getHex()).toMatch(/^[0-9a-f]{16}$/);
  });
});
