import {
  type PlatformServer,
  startPlatform,
} from "../../test/stand_ins/platform/server.ts";
import {
  createPlatformClient,
  type PlatformClient,
} from "./platform_client.ts";

const absent = { expectedRevision: 0 };

describe("platform client", () => {
  let server: PlatformServer;
  let client: PlatformClient;

  beforeEach(async () => {
    server = await startPlatform({ port: 0 });
    client = connect(server.port);
  });
  afterEach(async () => {
    await client.close();
    await server.close();
  });

  describe("calls", () => {
    it("reads and writes by compare-and-swap", async () => {
      const revision = (await client.put("p/1", "x", absent)).unsafeCoerce();
      const entry = { key: "p/1", value: "x", revision };
      expect((await client.get("p/1")).extract()).toEqual(entry);
      expect((await client.get("p/2")).unsafeCoerce()).toBeUndefined();
      const entries = await client.list("p/", { limit: 10 });
      expect(entries.unsafeCoerce()).toEqual([entry]);
      const conflict = await client.put("p/1", "y", absent);
      expect(conflict.extract()).toMatchObject({ kind: "conflict" });
      expect((await client.remove("p/1", revision)).isRight()).toBe(true);
      expect((await client.get("p/1")).unsafeCoerce()).toBeUndefined();
    });

    it("watches changes, including removals", async () => {
      const range = { afterRevision: 0, waitMs: 5000 };
      const waiting = client.watch("p/", range);
      const revision = (await client.put("p/1", "x", absent)).unsafeCoerce();
      expect((await waiting).unsafeCoerce())
        .toEqual([{ key: "p/1", value: "x", revision }]);
      await client.remove("p/1", revision);
      const later = { afterRevision: revision, waitMs: 5000 };
      expect((await client.watch("p/", later)).unsafeCoerce())
        .toEqual([{ key: "p/1", value: undefined, revision: revision + 1 }]);
    });

    it("creates and renews leases", async () => {
      const lease = (await client.createLease(60_000)).unsafeCoerce();
      await client.put("member/1", "x", { ...absent, lease });
      expect((await client.renewLease(lease)).isRight()).toBe(true);
      server.platform.store.endLease(lease);
      expect((await client.get("member/1")).unsafeCoerce()).toBeUndefined();
      expect((await client.renewLease(lease)).extract())
        .toMatchObject({ kind: "conflict" });
    });

    it("lists VMs", async () => {
      const vm = {
        id: "vm-1",
        address: "127.0.0.1",
        zone: "zone-a",
        state: "live",
      } as const;
      server.platform.setVms([vm]);
      expect((await client.listVms()).unsafeCoerce()).toEqual([vm]);
    });
  });

  describe("failures", () => {
    it("reports a write as unknown when its response is lost", async () => {
      server.platform.serviceFaults.lostAnswers = 1;
      const lost = await client.put("a", "mine", absent);
      expect(lost.extract()).toMatchObject({ kind: "unknown" });
      expect(server.platform.store.get("a")?.value).toBe("mine");
    });

    it("reports a write as unknown on a timeout", async () => {
      server.platform.serviceFaults.delayMs = 400;
      const shortTimeoutClient = connect(server.port, { timeoutMs: 50 });
      const late = await shortTimeoutClient.put("a", "mine", absent);
      expect(late.extract()).toMatchObject({ kind: "unknown" });
      await shortTimeoutClient.close();
    });

    it("reports a read as unavailable on a timeout", async () => {
      server.platform.serviceFaults.delayMs = 400;
      const shortTimeoutClient = connect(server.port, { timeoutMs: 50 });
      expect((await shortTimeoutClient.get("a")).extract())
        .toMatchObject({ kind: "unavailable" });
      await shortTimeoutClient.close();
    });

    it("reports a write as unavailable when it is refused", async () => {
      server.platform.serviceFaults.outage = true;
      const refused = await client.put("a", "mine", absent);
      expect(refused.extract()).toMatchObject({ kind: "unavailable" });
      expect(server.platform.store.get("a")).toBeUndefined();
    });

    it("reports a write as unavailable when nothing listens", async () => {
      await server.close();
      const refused = await client.put("a", "mine", absent);
      expect(refused.extract()).toMatchObject({ kind: "unavailable" });
    });

    it("backs off after a failure", async () => {
      server.platform.serviceFaults.outage = true;
      await client.get("a");
      const results = await Promise.all(
        Array.from({ length: 20 }, () => client.get("a").run()),
      );
      expect(results.every((result) => result.isLeft())).toBe(true);
      expect(client.getCalls().heldBack).toBeGreaterThan(0);
      expect(server.platform.getCalls().reads).toBeLessThan(21);
    });

    it("stays within its budget and counts a pending watch", async () => {
      const limitedClient = connect(server.port, { callsPerSecond: 1 });
      const watch = limitedClient.watch("p/", {
        afterRevision: 0,
        waitMs: 100,
      });
      expect((await limitedClient.get("a")).extract())
        .toMatchObject({ kind: "over_budget" });
      expect((await watch).unsafeCoerce()).toEqual([]);
      await limitedClient.close();
    });
  });
});

function connect(
  port: number,
  options: { readonly timeoutMs?: number; readonly callsPerSecond?: number } =
    {},
): PlatformClient {
  const base = `http://127.0.0.1:${port}`;
  return createPlatformClient({
    keyValue: base,
    vmList: base,
    callsPerSecond: options.callsPerSecond ?? 100,
    ...(options.timeoutMs === undefined
      ? {}
      : { timeoutMs: options.timeoutMs }),
  });
}
