import { createMemoryPlatform, maxValueBytes } from "./memory_platform.ts";

const absent = { expectedRevision: 0 };

describe("memory platform", () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  describe("compare-and-swap", () => {
    it("writes only at the expected revision", async () => {
      const platform = createMemoryPlatform();
      const first = (await platform.put("a", "1", absent)).unsafeCoerce();
      const again = await platform.put("a", "2", absent);
      expect(again.extract()).toMatchObject({ kind: "conflict" });
      await platform.put("a", "3", { expectedRevision: first });
      const entry = (await platform.get("a")).unsafeCoerce();
      expect(entry).toEqual({ key: "a", value: "3", revision: first + 1 });
    });

    it("lists by prefix in order, after a key, up to a limit", async () => {
      const platform = createMemoryPlatform();
      for (const key of ["p/3", "q/1", "p/1", "p/2"]) {
        await platform.put(key, key, absent);
      }
      const entries = await platform.list("p/", { after: "p/1", limit: 1 });
      expect(entries.unsafeCoerce().map(({ key }) => key)).toEqual(["p/2"]);
    });

    it("refuses a value larger than one mebibyte", async () => {
      const platform = createMemoryPlatform();
      const value = "x".repeat(maxValueBytes);
      expect((await platform.put("a", value, absent)).isRight()).toBe(true);
      const refused = await platform.put("b", value + "x", absent);
      expect(refused.extract()).toMatchObject({ kind: "unavailable" });
    });

    it("removes only at the expected revision", async () => {
      const platform = createMemoryPlatform();
      const revision = (await platform.put("a", "1", absent)).unsafeCoerce();
      expect((await platform.remove("a", revision + 1)).isLeft()).toBe(true);
      expect((await platform.remove("a", revision)).isRight()).toBe(true);
      expect((await platform.get("a")).unsafeCoerce()).toBeUndefined();
    });
  });

  describe("faults", () => {
    it("loses a response after the write took effect", async () => {
      const platform = createMemoryPlatform();
      platform.faults.lostAnswers = 1;
      platform.faults.lostPrefix = "claim/";
      expect((await platform.put("other", "1", absent)).isRight()).toBe(true);
      const lost = await platform.put("claim/1", "mine", absent);
      expect(lost.extract()).toMatchObject({ kind: "unknown" });
      expect(platform.store.get("claim/1")?.value).toBe("mine");
    });

    it("loses a request, with the same error for the writer", async () => {
      const platform = createMemoryPlatform();
      platform.faults.lostRequests = 1;
      const lost = await platform.put("a", "1", absent);
      expect(lost.extract()).toMatchObject({ kind: "unknown" });
      expect(platform.store.get("a")).toBeUndefined();
    });

    it("is unavailable for one client or for all", async () => {
      const platform = createMemoryPlatform();
      const other = platform.connect();
      platform.faults.outage = true;
      expect((await platform.get("a")).extract()).toMatchObject({
        kind: "unavailable",
      });
      expect((await other.get("a")).isRight()).toBe(true);
      platform.serviceFaults.outage = true;
      expect((await other.get("a")).isLeft()).toBe(true);
    });

    it("refuses calls beyond the rate limit", async () => {
      const platform = createMemoryPlatform();
      platform.serviceFaults.writesPerSecond = 1;
      expect((await platform.put("a", "1", absent)).isRight()).toBe(true);
      const refused = await platform.put("b", "1", absent);
      expect(refused.extract()).toMatchObject({ kind: "unavailable" });
      jest.advanceTimersByTime(1001);
      expect((await platform.put("b", "1", absent)).isRight()).toBe(true);
    });

    it("delays calls", async () => {
      const platform = createMemoryPlatform();
      platform.faults.delayMs = 500;
      let ended = false;
      const call = platform.put("a", "1", absent).run().then(() => {
        ended = true;
      });
      await jest.advanceTimersByTimeAsync(499);
      expect(ended).toBe(false);
      expect(platform.store.get("a")).toBeUndefined();
      await jest.advanceTimersByTimeAsync(1);
      await call;
      expect(platform.store.get("a")?.value).toBe("1");
    });

    it("lists VMs with a lag", async () => {
      const platform = createMemoryPlatform();
      const vm = { id: "vm-1", address: "127.0.0.1", zone: "zone-a" };
      platform.setVms([{ ...vm, state: "live" }]);
      jest.advanceTimersByTime(5000);
      platform.setVms([{ ...vm, state: "leaving" }]);
      platform.faults.vmLagMs = 2000;
      const before = (await platform.listVms()).unsafeCoerce();
      expect(before[0]?.state).toBe("live");
      jest.advanceTimersByTime(2000);
      const after = (await platform.listVms()).unsafeCoerce();
      expect(after[0]?.state).toBe("leaving");
    });
  });

  describe("watch", () => {
    it("returns changes at once, or waits for the next one", async () => {
      const platform = createMemoryPlatform();
      const options = { afterRevision: 0, waitMs: 10_000 };
      const waiting = platform.watch("p/", options);
      expect(platform.getCalls().watches).toBe(1);
      await jest.advanceTimersByTimeAsync(10);
      expect(platform.getCalls().waiting).toBe(1);
      await platform.put("p/1", "x", absent);
      const events = (await waiting).unsafeCoerce();
      expect(events).toEqual([{ key: "p/1", value: "x", revision: 1 }]);
      expect((await platform.watch("p/", options)).unsafeCoerce())
        .toEqual(events);
    });

    it("returns nothing after its timeout and fails in an outage", async () => {
      const platform = createMemoryPlatform();
      const options = { afterRevision: 0, waitMs: 1000 };
      const idle = platform.watch("p/", options).run();
      await jest.advanceTimersByTimeAsync(1000);
      expect((await idle).unsafeCoerce()).toEqual([]);
      const cut = platform.watch("p/", options).run();
      await jest.advanceTimersByTimeAsync(10);
      platform.faults.outage = true;
      await jest.advanceTimersByTimeAsync(50);
      expect((await cut).isLeft()).toBe(true);
    });
  });

  describe("lease", () => {
    it("removes its keys when it expires, unless it is renewed", async () => {
      const platform = createMemoryPlatform();
      const lease = (await platform.createLease(1000)).unsafeCoerce();
      await platform.put("member/1", "x", { ...absent, lease });
      jest.advanceTimersByTime(900);
      expect((await platform.renewLease(lease)).isRight()).toBe(true);
      jest.advanceTimersByTime(900);
      expect(platform.store.get("member/1")).toBeDefined();
      jest.advanceTimersByTime(101);
      expect(platform.store.get("member/1")).toBeUndefined();
      expect((await platform.renewLease(lease)).extract()).toMatchObject({
        kind: "conflict",
      });
    });
  });
});
