import { createReport, diagnostics, formatReport } from "./diagnostics.ts";

describe("diagnostics", () => {
  it("fills placeholders", () => {
    const report = createReport("no_target", { service: "chat" });
    expect(formatReport(report)).toBe("No target of chat is available");
  });

  it("has messages in sentence case without a final period", () => {
    for (const { text } of Object.values(diagnostics)) {
      expect(text).toMatch(/^[A-Z{].*[^.]$/);
    }
  });
});
