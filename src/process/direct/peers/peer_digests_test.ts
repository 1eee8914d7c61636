import { maxTokens } from "../../../types/stated_numbers.ts";
import { maxReportedPartRates } from "../placement/part_demand.ts";
import { maxReportedDemands } from "../queue/peer_demand.ts";
import { PeerDigest } from "../../../generated/mimosatray/v1/peer_digest.ts";
import { createCrashEvidenceTable } from "../crashes/crash_evidence.ts";
import { createEvidenceReports } from "../crashes/evidence_reports.ts";
import {
  createDigestWriter,
  encodeStreamMessage,
  maxDigestBytes,
  tryDecodeDigest,
} from "./peer_digests.ts";
import { maxPacesPerDigest } from "../targets/pace_reports.ts";
import { maxReportedLeaves } from "../targets/target_table.ts";

const noLoads = {
  position: { era: 2, revision: 7 },
  isSettled: true,
  isWatching: false,
  storeContactMs: 0,
  storeAgeMs: undefined,
  storeSilentMs: 0,
  lostEntries: 0,
  leaves: [],
  limits: [],
  paces: [],
  loads: new Map(),
  demands: [],
  partRates: [],
};

const evidence = {
  key: "request:0123456789abcdef",
  generation: 3,
  lives: [1, 2, 0xffff_ffff],
  trials: 2,
  trialInMs: 8_000,
  expiresInMs: 1_200_000,
};

describe("peer digests", () => {
  it("carry loads, parts and the directory position", () => {
    const writer = createDigestWriter("router-1");
    writer.queuePart({
      target: "a",
      part: { id: "p", tokens: 9 },
      isBeingRead: true,
    });
    const digest = tryDecodeDigest(writer.write({
      position: { era: 2, revision: 7 },
      isSettled: true,
      isWatching: true,
      storeContactMs: 40,
      storeAgeMs: 1_900,
      storeSilentMs: 700,
      lostEntries: 3,
      leaves: [{ id: "b", startedAtMs: 1_790_000_000_123 }],
      limits: [],
      paces: [{ hash: 0xffff_fffe, version: 3, bound: 16, ageMs: 1_200 }],
      loads: new Map([["a", { requests: 2, unreadTokens: 30 }]]),
      demands: [{ service: "s", priorityClass: 3, running: 1, waiting: 7 }],
      partRates: [{ hash: 0xffff_fffd, perS: 32.5 }],
    }, [evidence]));
    expect(digest).toEqual({
      sender: "router-1",
      position: { era: 2, revision: 7 },
      isSettled: true,
      isWatching: true,
      storeContactMs: 40,
      storeAgeMs: 1_900,
      storeSilentMs: 700,
      lostEntries: 3,
      leaves: [{ id: "b", startedAtMs: 1_790_000_000_123 }],
      limits: [],
      paces: [{ hash: 0xffff_fffe, version: 3, bound: 16, ageMs: 1_200 }],
      pushFragment: undefined,
      loads: new Map([["a", { requests: 2, unreadTokens: 30 }]]),
      demands: [{ service: "s", priorityClass: 3, running: 1, waiting: 7 }],
      partRates: [{ hash: 0xffff_fffd, perS: 32.5 }],
      parts: [{ target: "a", part: { id: "p", tokens: 9 }, isBeingRead: true }],
      crashes: [],
      crashEvidence: [evidence],
    });
  });

  describe("of limits of targets", () => {
    beforeEach(() => void jest.useFakeTimers());
    afterEach(() => void jest.useRealTimers());

    it("carry rates and ends, with their ages", () => {
      const writer = createDigestWriter("router-1");
      jest.advanceTimersByTime(5_000);
      const at = performance.now() - 400;
      const limits = [
        { address: "10.0.0.1:80", perS: 4.25, at },
        { address: "10.0.0.2:80", perS: 0, at },
        { address: "10.0.0.3:80", perS: undefined, at },
      ];
      const bytes = writer.write({ ...noLoads, limits });
      jest.advanceTimersByTime(100);
      const received = tryDecodeDigest(bytes)?.limits;
      expect(received).toEqual(
        limits.map((limit) => ({ ...limit, at: at + 100 })),
      );
    });
  });

  it("carry a message about streams alone", () => {
    const message = {
      origins: [{ key: 2 ** 52 - 1, version: 0xffff_fffe }],
      lookups: [1, 2 ** 51],
    };
    const digest = tryDecodeDigest(encodeStreamMessage("router-1", message));
    expect(digest?.sender).toBe("router-1");
    expect(digest?.streams).toEqual(message);
    const writer = createDigestWriter("router-1");
    expect(tryDecodeDigest(writer.write(noLoads))?.streams).toBeUndefined();
  });

  it("carry each crash record twice, beside the parts", () => {
    const writer = createDigestWriter("router-1");
    const record = { fingerprint: "0f", crashes: 2, expiresAtMs: 1_800_000 };
    writer.queueCrash(record);
    expect(writer.getQueueLength()).toBe(1);
    const crashes = [1, 2, 3].map(() =>
      tryDecodeDigest(writer.write(noLoads))?.crashes
    );
    expect(crashes).toEqual([[record], [record], []]);
    expect(writer.getQueueLength()).toBe(0);
  });

  it("carry each part twice, as some datagrams are lost", () => {
    const writer = createDigestWriter("router-1");
    writer.queuePart({
      target: "a",
      part: { id: "p", tokens: 9 },
      isBeingRead: true,
    });
    const partCounts = [1, 2, 3].map(() =>
      tryDecodeDigest(writer.write(noLoads))?.parts.length
    );
    expect(partCounts).toEqual([1, 1, 0]);
  });

  it("fit into one datagram for a large service", () => {
    const writer = createDigestWriter("edge-coast-a-1");
    for (let index = 0; index < 100; index++) {
      writer.queuePart({
        target: `i-0123456789${index}`,
        part: { id: `0123456789abc${index}`, tokens: 30_000 },
        isBeingRead: true,
      });
      writer.queueCrash({
        fingerprint: `0123456789abcd${10 + index % 90}`,
        crashes: 255,
        expiresAtMs: 1_800_000_000_000,
      });
    }
    const loads = new Map(
      Array.from({ length: 20 }, (_, index) => [
        `i-0123456789${index}`,
        { requests: 20, unreadTokens: 40_000 },
      ]),
    );
    const table = createCrashEvidenceTable();
    const reports = createEvidenceReports(table);
    for (let key = 0; key < 20; key++) {
      table.merge({
        ...evidence,
        key: `request:0123456789abcd${key + 10}`,
        lives: [1, 2, 3, 4, 5, 6, 7, 8],
      });
      if (key < 10) reports.queue(`request:0123456789abcd${key + 10}`);
    }
    const { length } = writer.write({
      ...noLoads,
      position: { era: 999, revision: 9_999_999 },
      isSettled: true,
      storeContactMs: 16_000,
      storeAgeMs: 2_000,
      lostEntries: 4_000,
      leaves: Array.from({ length: maxReportedLeaves }, (_, index) => ({
        id: `i-0123456789${index}`,
        startedAtMs: 1_790_000_000_123,
      })),
      paces: Array.from({ length: maxPacesPerDigest }, (_, index) => ({
        ...{ hash: 0xffff_fff0 + index, version: 300, bound: 128 },
        ageMs: 29_999,
      })),
      loads,
      demands: Array.from({ length: maxReportedDemands }, (_, index) => ({
        service: `service-${index}`,
        ...{ priorityClass: 9, running: 999, waiting: 999 },
      })),
      partRates: Array.from({ length: maxReportedPartRates }, (_, index) => ({
        ...{ hash: 0xffff_fff0 + index, perS: 450 },
      })),
    }, reports.take());
    expect(length).toBeLessThanOrEqual(maxDigestBytes);
  });

  it("carry no parts where limits and evidence leave no room", () => {
    const writer = createDigestWriter("router-1");
    for (let index = 0; index < 100; index++) {
      const part = { id: `part-${index}`, tokens: 30_000 };
      writer.queuePart({ target: "a", part, isBeingRead: false });
    }
    const limit = { address: "10.0.0.1:80", perS: 4.25, at: 0 };
    const pace = { hash: 1, version: 2, bound: 3, ageMs: 4 };
    const digest = tryDecodeDigest(writer.write(
      { ...noLoads, limits: Array(6).fill(limit), paces: [pace] },
      Array(7).fill(evidence),
    ));
    expect(digest?.parts).toEqual([]);
    expect(digest?.paces).toEqual([]);
    expect(digest?.limits).toHaveLength(6);
  });

  it("leave out a leave whose start time cannot be encoded", () => {
    const digest = tryDecodeDigest(
      createDigestWriter("router-1").write({
        ...noLoads,
        leaves: [
          { id: "a", startedAtMs: 1.5 },
          { id: "b", startedAtMs: -1 },
          { id: "c", startedAtMs: 7 },
        ],
      }),
    );
    expect(digest?.leaves).toEqual([{ id: "c", startedAtMs: 7 }]);
  });

  it("are not decoded from other bytes", () => {
    expect(tryDecodeDigest(new Uint8Array())).toBeUndefined();
    expect(tryDecodeDigest(Buffer.from("GET / HTTP/1.1"))).toBeUndefined();
  });

  it("carry a part of a push in place of loads", () => {
    const fragment = {
      position: { era: 999, revision: 9_999_999 },
      index: 1,
      count: 2,
      data: Buffer.alloc(1_150, 7),
    };
    const bytes = createDigestWriter("edge-coast-a-1").writePush({
      ...noLoads,
      loads: new Map([["a", { requests: 2, unreadTokens: 30 }]]),
    }, fragment);
    expect(bytes.length).toBeLessThanOrEqual(maxDigestBytes);
    const digest = tryDecodeDigest(bytes);
    expect(digest?.pushFragment).toEqual(fragment);
    expect(digest?.loads.size).toBe(0);
  });

  describe("between builds with and without an era", () => {
    it("have an unknown era when the sender names none", () => {
      const bytes = PeerDigest.encode({
        ...PeerDigest.decode(new Uint8Array()),
        sender: "router-1",
        directoryRevision: 7,
      }).finish();
      expect(tryDecodeDigest(bytes)?.position).toEqual({ era: 0, revision: 7 });
    });

    it("keep the fields that builds without an era read", () => {
      const bytes = createDigestWriter("router-1").writePush(noLoads, {
        position: { era: 2, revision: 9 },
        index: 0,
        count: 1,
        data: Buffer.from("x"),
      });
      expect(PeerDigest.decode(bytes)).toMatchObject({
        sender: "router-1",
        directoryRevision: 7,
        pushFragment: { revision: 9, index: 0, count: 1 },
      });
    });
  });

  // One number that could not be encoded kept back all other reports, for good.
  describe.each([NaN, Infinity, -1, 0.5, 5e9])("of which one has %d", (odd) => {
    const part = { id: "p", tokens: 9 };
    const cases: Readonly<Record<string, Partial<typeof noLoads>>> = {
      loads: {
        loads: new Map([
          ["a", { requests: odd, unreadTokens: 1 }],
          ["b", { requests: 1, unreadTokens: 1 }],
        ]),
      },
      demands: {
        demands: [
          { service: "a", priorityClass: odd, running: 1, waiting: 0 },
          { service: "b", priorityClass: 1, running: 1, waiting: 0 },
        ] as never,
      },
      paces: {
        paces: [
          { hash: 1, version: 1, bound: odd, ageMs: 1 },
          { hash: 2, version: 1, bound: 1, ageMs: 1 },
        ] as never,
      },
      storeContactMs: { storeContactMs: odd },
    };

    it.each(Object.keys(cases))("carry all else: %s", (field) => {
      const leftOut: string[] = [];
      const writer = createDigestWriter("router-1", {
        reportLeftOut: (fields) => leftOut.push(...fields),
      });
      writer.queuePart({ target: "b", part, isBeingRead: false });
      const digest = tryDecodeDigest(
        writer.write({ ...noLoads, ...cases[field] }, [evidence]),
      );
      expect(leftOut).toEqual([field]);
      expect(digest).toMatchObject({
        ...{ position: noLoads.position, crashEvidence: [evidence] },
        parts: [{ target: "b", part }],
      });
      const { loads, demands, paces } = digest ?? noLoads;
      expect([...loads.keys(), ...[...demands, ...paces].map(() => "b")])
        .toEqual(field === "storeContactMs" ? [] : ["b"]);
    });
  });

  it("take no backlog that the reported requests cannot have", () => {
    const bytes = createDigestWriter("router-1").write({
      ...noLoads,
      loads: new Map([["a", { requests: 2, unreadTokens: 0xffff_ffff }]]),
    });
    expect(tryDecodeDigest(bytes)?.loads.get("a")).toEqual({
      ...{ requests: 2, unreadTokens: 2 * maxTokens },
    });
  });
});
