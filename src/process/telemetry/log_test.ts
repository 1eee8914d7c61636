import { createLog } from "./log.ts";

describe("log", () => {
  it("writes one JSON object per line with its own and common fields", () => {
    const lines: string[] = [];
    const log = createLog({ writeLine: (line) => lines.push(line) }, {
      level: "info",
      fields: { process: "router-a1" },
    });
    log.info("Request ended", { request: "r1", status: 200 });
    log.debug("Not written");
    expect(lines).toHaveLength(1);
    expect(JSON.parse(lines[0] ?? "")).toMatchObject({
      level: "info",
      message: "Request ended",
      process: "router-a1",
      request: "r1",
      status: 200,
    });
  });
});
