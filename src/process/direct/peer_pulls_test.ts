import type { WatchEvent } from "../../types/platform.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createPeerPulls } from "./peer_pulls.ts";

const own = { address: "10.0.0.1", port: 7 };
const peer = { address: "10.0.0.2", port: 7 };
const change: WatchEvent = { key: "a", value: "x", revision: 9 };

describe("pulls from peers", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  function create(
    state: { hasConfiguration: boolean; needsPeers: boolean },
  ) {
    const pulled: string[] = [];
    const applied: WatchEvent[] = [];
    const pulls = createPeerPulls({
      settings: { pull: own, seeds: [own, peer] },
      log: createSilentLog(),
      needsPeers: () => state.needsPeers,
      hasConfiguration: () => state.hasConfiguration,
      getRevision: () => 4,
      applyChanges: (changes) => applied.push(...changes),
      pullDirectory: ({ address }, revision) => {
        pulled.push(`${address} after ${revision}`);
        return Promise.resolve([change]);
      },
      pullCachedParts: () => Promise.reject(new Error("silent")),
    });
    return { pulls, pulled, taken: applied };
  }

  describe("after an outage of all", () => {
    it("leave a store that is only busy the time to answer", async () => {
      const { pulls, pulled } = create({
        hasConfiguration: false,
        needsPeers: true,
      });
      await jest.advanceTimersByTimeAsync(300);
      pulls.reportPeerAhead(peer);
      pulls.tick();
      expect(pulled).toEqual([]);
    });

    it("take a first copy from a peer that is heard", async () => {
      const { pulls, pulled, taken: applied } = create({
        hasConfiguration: false,
        needsPeers: true,
      });
      await jest.advanceTimersByTimeAsync(400);
      pulls.reportPeerAhead(peer);
      await jest.advanceTimersByTimeAsync(0);
      expect(pulled).toEqual(["10.0.0.2 after 4"]);
      expect(applied).toEqual([change]);
    });

    it("do not ask while the store still answers", async () => {
      const { pulls, pulled } = create({
        hasConfiguration: false,
        needsPeers: false,
      });
      await jest.advanceTimersByTimeAsync(2_000);
      pulls.reportPeerAhead(peer);
      pulls.tick();
      expect(pulled).toEqual([]);
    });

    it("ask seeds, but not itself, after a second", async () => {
      const { pulls, pulled } = create({
        hasConfiguration: false,
        needsPeers: true,
      });
      await jest.advanceTimersByTimeAsync(1_000);
      pulls.tick();
      pulls.tick();
      expect(pulled).toEqual(["10.0.0.2 after 4"]);
    });
  });

  describe("of a router that the store turns away", () => {
    it("wait until a peer has been ahead for a time", async () => {
      const { pulls, pulled } = create({
        hasConfiguration: true,
        needsPeers: true,
      });
      pulls.reportPeerAhead(peer);
      await jest.advanceTimersByTimeAsync(499);
      pulls.reportPeerAhead(peer);
      expect(pulled).toEqual([]);
      await jest.advanceTimersByTimeAsync(1);
      pulls.reportPeerAhead(peer);
      expect(pulled.length).toBe(1);
    });

    it("begin anew once it has caught up", async () => {
      const { pulls, pulled } = create({
        hasConfiguration: true,
        needsPeers: false,
      });
      pulls.reportPeerAhead(peer);
      await jest.advanceTimersByTimeAsync(600);
      pulls.reportCaughtUp();
      pulls.reportPeerAhead(peer);
      expect(pulled).toEqual([]);
    });
  });

  it("tell of a peer that gives no held parts", async () => {
    const { pulls } = create({ hasConfiguration: true, needsPeers: false });
    await expect(pulls.tryPullCachedParts({
      id: "router-2",
      address: peer.address,
      digestPort: 6,
      pullPort: 7,
    })).resolves.toBeUndefined();
  });
});
