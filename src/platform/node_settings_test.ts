import { readNodeSettings } from "./node_settings.ts";

const file = `
NodeName: "edge-1"
Ip: "10.1.0.40"
Zone: "coast-a"
Listen:
  Front: "10.1.0.40:8227"
  ReadyAddr: "10.1.0.40:8220"
  Control: "10.1.0.40:8229"
PortRange:
  - 7340
  - 7355
Seeds:
  - "10.1.0.40:8229"
  - "not an address"
Bounds:
  GraceS: 8
  RetryRatio: 0.2
  RetryWindowS: 10
  RetrySlack: 56
  CapFactor: 2
Platform:
  Address: "10.200.1.7:8223"
SomethingNew: true
`;

describe("the platform's settings", () => {
  it("are read into the router's own", () => {
    expect(readNodeSettings(file).extract()).toMatchObject({
      id: "edge-1",
      zone: "coast-a",
      front: { address: "10.1.0.40", port: 8227 },
      readiness: { address: "10.1.0.40", port: 8220 },
      pull: { address: "10.1.0.40", port: 8229 },
      digest: { address: "10.1.0.40", port: 7340 },
      seeds: [{ address: "10.1.0.40", port: 8229 }],
      store: "http://10.200.1.7:8223",
      retries: { ratio: 0.2, slack: 56, windowMs: 10_000 },
      graceMs: 8_000,
      loadMultiple: 2,
    });
  });

  for (const field of ["NodeName", "Ip", "Front", "ReadyAddr", "PortRange"]) {
    it(`name the field at fault: ${field}`, () => {
      const broken = file.replace(new RegExp(`${field}:`), "Other:");
      const read = readNodeSettings(broken);
      expect(read.isLeft()).toBe(true);
      expect(String(read.extract())).toContain(field);
    });
  }

  it("are refused when they are not YAML", () => {
    expect(readNodeSettings("a: [").isLeft()).toBe(true);
  });
});
