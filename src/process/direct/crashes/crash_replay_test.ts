import {
  type CrashReplayResult,
  type RepeatedRequest,
  replayCrashes,
} from "../../../../test/support/crash_fleet.ts";
import type { Prompt } from "../../../types/prompt.ts";
import { createSeededRandom } from "../../../../test/support/seeded_random.ts";

/** Sends of a request that are allowed long after its third crash. */
const maxLateSends = 3;

/** Time after which the fleet has to know of a crash, in milliseconds. */
const contactMs = 3_000;

/** What a router may send for control, in bytes a second. */
const controlBytesPerS = 22_000;

/** Writes that the store takes from all routers, a second. */
const writesPerS = 400;

/** Probes of targets that a router may send for aborted requests, a second. */
const maxProbesPerS = 2.5;

const crashing = "/draft/crashing";

const sound: readonly RepeatedRequest[] = Array.from(
  { length: 6 },
  (_, index) => ({
    path: `/draft/sound-${index}`,
    gapMs: 600,
    runMs: 500,
    end: "served",
  }),
);

/** The same, where callers of every second one leave before its response. */
const leaving = sound.map((request): RepeatedRequest => ({
  ...request,
  leaves: { afterMs: 250, oneOf: 2 },
}));

/** How a request comes to the routers of a fleet, by the name of the way. */
const orders = {
  "the next router": (_random: () => number, count: number) => (sent: number) =>
    sent % count,
  "any router": (random: () => number, count: number) => () =>
    Math.floor(random() * count),
} as const;

/** Creates a prompt of parts with these ids. */
function createPrompt(ids: readonly string[], model = "m"): Prompt {
  return {
    ...{ model, promptTokens: 700, maxOutputTokens: 24 },
    parts: ids.map((id) => ({ id, tokens: 100 })),
    hintedOutputTokens: undefined,
  };
}

/** How the prompt of a request differs each time that it comes. */
const prompts: Readonly<Record<string, (count: number) => Prompt>> = {
  "the last part": (count) => createPrompt(["shared", `own-${count}`]),
  "all parts": (count) => createPrompt([`first-${count}`, `own-${count}`]),
  "the order of its parts": (count) =>
    createPrompt(count % 2 === 0 ? ["a", "b", "own"] : ["b", "a", "own"]),
  "whether it has parts": (count) =>
    createPrompt(count % 2 === 0 ? ["shared", "own"] : []),
  "the model": (count) =>
    createPrompt(["shared", "own"], count % 2 === 0 ? "m" : "n"),
  "nothing": () => createPrompt(["shared", "own"]),
};

describe("requests whose targets crash, in the replay of a fleet", () => {
  beforeEach(() => void jest.useFakeTimers());
  afterEach(() => void jest.useRealTimers());

  // No router told the others of the first such crash that it saw.
  describe.each([5, 31, 88])("of %d routers", (routers) => {
    describe.each(Object.entries(orders))("at %s", (_name, order) => {
      describe.each(
        [
          ["before its first event", "crash_before_event", 200],
          ["after its first event", "crash_after_event", 200],
          ["after seconds of events", "crash_after_event", 3_000],
          ["after many seconds of events", "crash_after_event", 10_000],
        ] as const,
      )("one that crashes them %s", (_moment, end, runMs) => {
        it.each([700, 1_500, 3_300])(
          "is sent three times at most long after the third crash, each %d ms",
          async (gapMs) => {
            const random = createSeededRandom(routers + gapMs);
            const result = await replayCrashes({
              ...{ routers, targets: 20, lengthMs: 50_000 },
              requests: [{ path: crashing, gapMs, runMs, end }, ...sound],
              chooseRouter: order(random, routers),
              chooseTarget: (count) => Math.floor(random() * count),
            });
            expect(countLateSends(result)).toBeLessThanOrEqual(maxLateSends);
            expect(countRefusedSound(result)).toBe(0);
          },
        );
      });
    });
  });

  // Each return had a fingerprint of its own, with a single crash.
  describe.each(Object.keys(prompts))(
    "one whose returns differ in %s",
    (name) => {
      describe.each([5, 31])("of %d routers", (routers) => {
        describe.each(["crash_before_event", "crash_after_event"] as const)(
          "ended by %s",
          (end) => {
            it.each([700, 1_500, 3_300])(
              "is sent three times at most long after the third crash, each %d ms",
              async (gapMs) => {
                const random = createSeededRandom(routers + gapMs);
                const others = sound.map((request, index) => ({
                  ...request,
                  createPrompt: () =>
                    createPrompt(["shared", `other-${index}`]),
                }));
                const result = await replayCrashes({
                  ...{ routers, targets: 20, lengthMs: 50_000 },
                  requests: [{
                    ...{ path: crashing, gapMs, runMs: 200, end },
                    createPrompt: (count) => prompts[name]?.(count) as Prompt,
                  }, ...others],
                  chooseRouter: orders["any router"](random, routers),
                  chooseTarget: (count) => Math.floor(random() * count),
                });
                expect(countLateSends(result)).toBeLessThanOrEqual(
                  maxLateSends,
                );
                expect(countRefusedSound(result)).toBe(0);
              },
            );
          },
        );
      });
    },
  );

  // A fingerprint without the prompt is theirs too.
  describe.each([600, 4_000, 12_000])(
    "sound ones with the body of a crashing one, each %d ms",
    (soundGapMs) => {
      describe.each([5, 31])("of %d routers", (routers) => {
        it.each(["crash_before_event", "crash_after_event"] as const)(
          "go on beside it: %s",
          async (end) => {
            const random = createSeededRandom(routers + soundGapMs);
            const others = Array.from({ length: 6 }, (_, index) => ({
              ...{ path: crashing, gapMs: soundGapMs, runMs: 500 },
              ...{ name: `sound-${index}`, end: "served" as const },
              createPrompt: () => createPrompt(["shared", `other-${index}`]),
            }));
            const result = await replayCrashes({
              ...{ routers, targets: 20, lengthMs: 60_000 },
              requests: [{
                ...{ path: crashing, gapMs: 1_500, runMs: 200, end },
                createPrompt: () => createPrompt(["shared", "own"]),
              }, ...others],
              chooseRouter: orders["any router"](random, routers),
              chooseTarget: (count) => Math.floor(random() * count),
            });
            expect(countLateSends(result)).toBeLessThanOrEqual(maxLateSends);
            expect(countRefusedSound(result)).toBe(0);
          },
        );
      });
    },
  );

  // What its caller had left was in flight at no crash.
  describe.each([5, 31, 88])(
    "of %d routers, left by their callers",
    (routers) => {
      describe.each(
        [
          ["after half a second of work", 1_000],
          ["after seconds of work", 3_000],
        ] as const,
      )("one that crashes them %s", (_moment, runMs) => {
        describe.each([["alone", []], ["beside others", leaving]])(
          "%s",
          (_beside, others) => {
            it.each([700, 1_500, 3_300])(
              "is sent three times at most long after the third crash, each %d ms",
              async (gapMs) => {
                const random = createSeededRandom(routers + gapMs);
                const result = await replayCrashes({
                  ...{ routers, targets: 20, lengthMs: 50_000 },
                  requests: [{
                    ...{ path: crashing, gapMs, runMs },
                    end: "crash_before_event",
                    leaves: { afterMs: 500, oneOf: 1 },
                  }, ...others],
                  chooseRouter: orders["any router"](random, routers),
                  chooseTarget: (count) => Math.floor(random() * count),
                });
                expect(countLateSends(result)).toBeLessThanOrEqual(
                  maxLateSends,
                );
                expect(countRefusedSound(result)).toBe(0);
              },
            );
          },
        );
      });
    },
  );

  // Only three crashes were in the store.
  describe.each([5, 31, 88])("of %d routers that are all killed", (routers) => {
    describe.each(["crash_before_event", "crash_after_event"] as const)(
      "after an end by %s",
      (end) => {
        describe.each([1, 2, 3])("with number %d", (crash) => {
          it.each([1_500, 4_000])(
            "is sent three times at most long after the third crash, each %d ms",
            async (gapMs) => {
              const random = createSeededRandom(routers + gapMs);
              const result = await replayCrashes({
                ...{ routers, targets: 20, lengthMs: 40_000 },
                requests: [
                  { path: crashing, gapMs, runMs: 200, end },
                  ...sound,
                ],
                kill: { path: crashing, crash, afterMs: gapMs - 300 },
                chooseRouter: orders["any router"](random, routers),
                chooseTarget: (count) => Math.floor(random() * count),
              });
              expect(countLateSends(result)).toBeLessThanOrEqual(maxLateSends);
              expect(countRefusedSound(result)).toBe(0);
            },
          );
        });
      },
    );
  });

  // A crash names all that was in flight, whose bodies may come again at once.
  describe.each(
    [
      ["stay", undefined],
      ["leave in one of three cases", { afterMs: 1_500, oneOf: 3 }],
    ] as const,
  )("sound ones at herds of crashes, whose callers %s", (_name, leaves) => {
    it.each([5, 31, 88, 350])(
      "are not refused, and fit into the control budgets of %d routers",
      async (routers) => {
        const random = createSeededRandom(routers);
        const targets = Math.round(routers * 0.75);
        const requests = Array.from(
          { length: targets * 16 },
          (_, index): RepeatedRequest => ({
            path: `/draft/sound-${index}`,
            ...{ gapMs: 4_000, runMs: 3_000, end: "served", leaves },
          }),
        );
        const result = await replayCrashes({
          ...{ routers, targets, lengthMs: 30_000, requests },
          withdrawsLosses: false,
          chooseRouter: () => Math.floor(random() * routers),
          chooseTarget: (count) => Math.floor(random() * count),
          // One after another, and all at once.
          herds: [
            ...Array.from({ length: 10 }, (_, index) => ({
              ...{ atMs: 4_000 + index * 1_500, share: 1 / targets },
            })),
            ...[{ atMs: 20_000, share: 0.3 }, { atMs: 23_000, share: 1 }],
          ],
        });
        expect(countRefusedSound(result)).toBe(0);
        expect(result.bytesPerS).toBeLessThan(controlBytesPerS);
        expect(result.probesPerS).toBeLessThan(maxProbesPerS);
        expect(result.peakWritesPerS).toBeLessThan(writesPerS / 4);
      },
    );
  });
});

function countLateSends(
  { sentAt, crashedAt, killedAt = 0 }: CrashReplayResult,
): number {
  const thirdAt = crashedAt.get(crashing)?.[2] ?? Infinity;
  const knownAt = Math.max(thirdAt, killedAt) + contactMs;
  return (sentAt.get(crashing) ?? []).filter((at) => at > knownAt).length;
}

function countRefusedSound({ refused }: CrashReplayResult): number {
  return [...refused].filter(([path]) => path !== crashing)
    .reduce((sum, [, count]) => sum + count, 0);
}
