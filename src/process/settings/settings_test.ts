import { formatReport } from "../../types/diagnostics.ts";
import { parseSettings } from "./settings.ts";

const router = `{
  // The first router of the zone.
  "role": "router",
  "id": "router-a1",
  "address": "10.0.0.7",
  "zone": "coast-a",
  "region": "bc-coast",
  "vm": "vm-17",
  "platform": {
    "keyValue": "http://10.0.0.2:8000",
    "vmList": "http://10.0.0.2:8000",
  },
  "grpcPort": 7400,
  "gossipPort": 7401,
  "adminPort": 7300,
  "callerPort": 8080,
}`;

/** Returns the errors in a settings text, each as one line. */
function getErrors(text: string): readonly string[] {
  return parseSettings(text, { file: "a.jsonc" })
    .swap().map((reports) => reports.map(formatReport)).orDefault([]);
}

describe("parseSettings", () => {
  it("accepts comments and fills in defaults", () => {
    const settings = parseSettings(router, { file: "a.jsonc" }).unsafeCoerce();
    expect(settings).toMatchObject({
      id: "router-a1",
      seeds: [],
      logLevel: "info",
      platform: { callsPerSecond: 20 },
      maxInFlight: 2_000,
    });
  });

  it("reports all errors at once, in order of position", () => {
    const errorLines = getErrors(
      router
        .replace('"10.0.0.7"', '"10.0.0.256"')
        .replace('"gossipPort": 7401,', '"gossipPort": 0, "port": 1,')
        .replace('"vmList": "http://10.0.0.2:8000",', '"vms": 5,')
        .replace('"vm": "vm-17"', '"zone": "coast-b"'),
    );
    expect(errorLines).toEqual([
      "a.jsonc:1:1: vm is missing, it must be a text that is not empty",
      'a.jsonc:5:14: address must be an IP number such as "10.0.0.7"',
      "a.jsonc:8:3: zone is given twice",
      "a.jsonc:9:15: platform.vmList is missing, it must be a base URL such as " +
      '"http://10.0.0.7:8000"',
      "a.jsonc:11:5: platform.vms is not a setting",
      "a.jsonc:14:17: gossipPort must be a whole number from 1 to 65535",
      "a.jsonc:14:20: port is not a setting",
    ]);
  });

  it("reports a text that is not JSON", () => {
    expect(getErrors('{ "role": ')).toEqual([
      "a.jsonc:1:11: the text is not JSON: ValueExpected",
      "a.jsonc:1:11: the text is not JSON: CloseBraceExpected",
    ]);
    expect(getErrors("7")).toEqual([
      "a.jsonc:1:1: the file must be an object of settings",
    ]);
  });

  it("rejects settings of the other role", () => {
    const errorLines = getErrors(router.replace('"router"', '"agent"'));
    expect(errorLines).toContain("a.jsonc:16:3: callerPort is not a setting");
    expect(errorLines).toContain(
      "a.jsonc:1:1: target is missing, it must be a base URL such as " +
        '"http://10.0.0.7:8000"',
    );
  });
});
