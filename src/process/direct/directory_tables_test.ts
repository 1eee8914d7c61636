import { createTable, createTarget } from "../../../test/support/direct.ts";
import type { DirectoryRecord } from "../../types/directory.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createDirectoryTables } from "./directory_tables.ts";
import { createCachedParts } from "./cached_parts.ts";
import { createTargetTable } from "./target_table.ts";

describe("directory tables", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  function create(records: Readonly<Record<string, DirectoryRecord>>) {
    const versions: number[] = [];
    const targets = createTargetTable();
    const cachedParts = createCachedParts();
    let outageEndedAt = Number.NEGATIVE_INFINITY;
    const directory = createDirectoryTables({
      store: {
        decode: ({ value }) =>
          records[value] ?? { kind: "unreadable", reason: "malformed" },
        resolveKey: (key) =>
          key.startsWith("t/")
            ? { kind: "target", id: key.slice(2) }
            : { kind: "router", id: key.slice(2) },
      },
      targets,
      cachedParts,
      health: { forget: () => undefined },
      log: createSilentLog(),
      expiryGraceMs: 2_200,
      getOutageEndedAt: () => outageEndedAt,
      handleRouteTable: ({ version }) => versions.push(version),
    });
    let revision = 0;
    return {
      directory,
      targets,
      versions,
      endOutage: () => {
        outageEndedAt = performance.now();
      },
      apply: (key: string, value: string | undefined) =>
        directory.apply([{ key, value, revision: ++revision }], "watch"),
    };
  }

  const target = createTarget("a");
  const records: Readonly<Record<string, DirectoryRecord>> = {
    v5: { kind: "route_table", table: createTable({ version: 5 }) },
    v4: { kind: "route_table", table: createTable({ version: 4 }) },
    a: { kind: "target", target },
  };

  it("never return to an older configuration", () => {
    const { directory, apply, versions } = create(records);
    apply("c", "v5");
    apply("c", "v4");
    expect(versions).toEqual([5]);
    expect(directory.getVersion()).toBe(5);
  });

  it("remove a target when its entry is removed", () => {
    const { apply, targets } = create(records);
    apply("t/a", "a");
    expect(targets.getReady(target.service).length).toBe(1);
    apply("t/a", undefined);
    expect(targets.getReady(target.service)).toEqual([]);
  });

  it("remove a target when its entry cannot be read", () => {
    const { apply, targets } = create(records);
    apply("t/a", "a");
    apply("t/a", "corrupted");
    expect(targets.getReady(target.service)).toEqual([]);
  });

  it("keep a target for a time if its entry expired in an outage", async () => {
    const { apply, targets, endOutage } = create(records);
    apply("t/a", "a");
    endOutage();
    apply("t/a", undefined);
    expect(targets.getReady(target.service).length).toBe(1);
    await jest.advanceTimersByTimeAsync(2_300);
    expect(targets.getReady(target.service)).toEqual([]);
  });
});
