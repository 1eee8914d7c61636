import fc from "fast-check";
import { createMember } from "../../../test/support/exchange_network.ts";
import type { Member, MemberState } from "../../types/member.ts";
import { createMembership, suspicionTimeoutMs } from "./membership.ts";

const states: readonly MemberState[] = ["live", "suspect", "leaving", "dead"];

const records = fc.array(
  fc.record({
    number: fc.integer({ min: 1, max: 4 }),
    incarnation: fc.integer({ min: 1, max: 3 }),
    version: fc.integer({ min: 1, max: 3 }),
    state: fc.constantFrom(...states),
  }).map(({ number, ...change }) => createMember(number, change)),
  { maxLength: 30 },
);

describe("membership", () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it("converges regardless of the order and number of messages", () => {
    fc.assert(
      fc.property(records, records, (list, more) => {
        const one = create();
        const other = create();
        [...list, ...more].forEach(one.merge);
        [...more, ...list, ...more].reverse().forEach(other.merge);
        expect(one.table.getAll()).toEqual(other.table.getAll());
        expect(one.table.getHash()).toBe(other.table.getHash());
      }),
      { seed: 17, numRuns: 200 },
    );
  });

  it("has the same hashes when rebuilt from its records", () => {
    fc.assert(
      fc.property(records, (list) => {
        const one = create();
        list.forEach(one.merge);
        const other = create();
        one.table.getAll().forEach(other.merge);
        expect(other.table.getBucketHashes())
          .toEqual(one.table.getBucketHashes());
      }),
      { seed: 18, numRuns: 100 },
    );
  });

  describe("a record of this process", () => {
    it("is refuted by a higher version", () => {
      const { merge, getSelf } = create();
      expect(merge({ ...getSelf(), state: "dead" })).toBe("renewed_self");
      expect(getSelf()).toMatchObject({ state: "live", version: 2 });
    });

    it("makes it leave when others read the VM list first", () => {
      const { merge, getSelf } = create();
      merge({ ...getSelf(), state: "leaving" });
      expect(getSelf()).toMatchObject({ state: "leaving", version: 2 });
    });

    it("is refuted by a higher incarnation when the clock was set back", () => {
      const { merge, getSelf } = create();
      const incarnation = getSelf().incarnation + 5_000;
      merge({ ...getSelf(), incarnation });
      expect(getSelf().incarnation).toBe(incarnation + 1);
    });

    it("wins when another process runs under the same id", () => {
      const { merge, getSelf } = create();
      const other: Member = {
        ...getSelf(),
        incarnation: getSelf().incarnation + 1,
        address: "10.7.7.7",
      };
      expect(merge(other)).toBe("replaced");
    });
  });

  it("marks a suspect dead that does not refute in time", () => {
    const { merge, suspect, tick, table } = create();
    merge(createMember(1));
    suspect("agent-1");
    jest.advanceTimersByTime(suspicionTimeoutMs - 1);
    expect(tick()).toEqual([]);
    jest.advanceTimersByTime(1);
    expect(tick().map(({ state }) => state)).toEqual(["dead"]);
    expect(table.getAvailableAgents("chat").map(({ id }) => id))
      .toEqual(["agent-0"]);
  });
});

function create(): ReturnType<typeof createMembership> {
  return createMembership(createMember(0));
}
