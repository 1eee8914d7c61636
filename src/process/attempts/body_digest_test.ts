import { loadBodyDigests } from "./body_digest.ts";

describe("body digest", () => {
  it("does not depend on how the body is split", async () => {
    const digests = await loadBodyDigests();
    const whole = digests.create();
    whole.update(Buffer.from("one two three"));
    const cut = digests.create();
    cut.update(Buffer.from("one t"));
    cut.update(Buffer.from("wo three"));
    expect(cut.getHex()).toBe(whole.getHex());
    expect(whole.getHex()).toMatch(/^[0-9a-f]{16}$/);
  });
});
