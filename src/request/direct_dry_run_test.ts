import { createRequest, createTarget } from "../../test/support/direct.ts";
import {
  createDryRunRouter,
  type DryRunRouter,
} from "../../test/support/dry_run_router.ts";
import type { DirectTarget } from "../types/direct_target.ts";
import type {
  DryRunAnswer,
  DryRunQuestion,
  DryRunTarget,
} from "../types/dry_run.ts";
import type { PromptPart } from "../types/prompt.ts";
import { tryChooseTarget } from "./direct_choice.ts";
import { answerDryRun } from "./direct_dry_run.ts";
import { createUnservedEnd } from "./direct_end.ts";
import { createDirectQuarantine } from "./direct_quarantine.ts";
import { createQueuedRequest } from "./direct_queue_wait.ts";

const shared = { id: "manual", tokens: 9_000 };
const parts: readonly PromptPart[] = [shared, { id: "own", tokens: 100 }];
const startMs = Date.UTC(2026, 0, 1);

/** Origins of which peers would have to tell. */
const unknownHere = { tryPeek: () => undefined };

/** A state of the router, and what a dry run tells of it. */
interface Situation {
  readonly options?: Parameters<typeof createDryRunRouter>[0];
  readonly parts?: readonly PromptPart[];
  readonly resumes?: string;
  arrange(router: DryRunRouter, targets: readonly DirectTarget[]): void;
  readonly answer: Partial<Omit<DryRunAnswer, "targets">>;
  /** Obstacles by target id; none for the others. */
  readonly obstacles?: Readonly<Record<string, DryRunTarget["obstacles"]>>;
}

const situations: Readonly<Record<string, Situation>> = {
  "no obstacle": {
    arrange: ({ host }) => host.loads.begin("a", 0),
    answer: { outcome: "sent", target: "b" },
  },
  "targets that leave, in an evacuated zone and removed long ago": {
    arrange: ({ host, evacuations }, [a, b, c]) => {
      evacuations.begin("zone-b", {});
      host.targets.put({ ...a as DirectTarget, zone: "zone-b" });
      host.targets.recordLeaving(b as DirectTarget);
      host.targets.remove((c as DirectTarget).id, performance.now());
      jest.advanceTimersByTime(20_000);
    },
    answer: { outcome: "refused" },
    obstacles: { a: ["evacuated"], b: ["leaving"], c: ["leaving"] },
  },
  "an ejected target and one on trial": {
    arrange: ({ host }, [a, b]) => {
      host.health.recordOutcome(b as DirectTarget, "unreachable");
      jest.advanceTimersByTime(500);
      host.health.recordSent(b as DirectTarget);
      host.health.recordOutcome(a as DirectTarget, "silent");
    },
    answer: { outcome: "sent", target: "c" },
    obstacles: { a: ["ejected"], b: ["on_trial"] },
  },
  "a paused target and one that returns": {
    arrange: ({ host }, [a, b]) => {
      host.pauses.recordPause(b as DirectTarget, 100);
      jest.advanceTimersByTime(200);
      host.pauses.begin(b as DirectTarget);
      host.pauses.recordPause(a as DirectTarget, 1_000);
    },
    answer: { outcome: "sent", target: "c" },
    obstacles: { a: ["paused"], b: ["returning"] },
  },
  "a cold target that was not asked about and one at its rate": {
    options: { isCold: true },
    arrange: ({ host: { limits } }, [a, b]) => {
      jest.advanceTimersByTime(1_510);
      limits.recordEntry({ ...a as DirectTarget, warmUpLeftMs: 5_000 });
      limits.record(
        (b as DirectTarget).address,
        { kind: "named", perS: 0 },
        { sentAt: performance.now() },
      );
    },
    answer: { outcome: "sent", target: "c" },
    obstacles: { a: ["cold"], b: ["limited"] },
  },
  "a cold target that the queue was not asked about": {
    options: { hasContention: true, isCold: true },
    arrange: ({ host: { limits } }, [a]) => {
      jest.advanceTimersByTime(1_510);
      limits.recordEntry({ ...a as DirectTarget, warmUpLeftMs: 5_000 });
    },
    answer: { outcome: "sent", hasContention: true },
    obstacles: { a: ["cold"] },
  },
  "no target within its rate": {
    options: { isCold: true },
    arrange: ({ host: { limits } }, targets) => {
      jest.advanceTimersByTime(1_510);
      targets.forEach((target) =>
        limits.recordEntry({ ...target, warmUpLeftMs: 5_000 })
      );
    },
    answer: {
      outcome: "refused",
      refusal: expect.objectContaining({ code: "target_limited" }),
    },
    obstacles: { a: ["cold"], b: ["cold"], c: ["cold"] },
  },
  "a target that has just started": {
    options: { hasContention: true },
    arrange: ({ host }, [a]) => {
      host.targets.put({ ...a as DirectTarget, startedAtMs: Date.now() });
      for (let sent = 0; sent < 8; sent++) host.loads.begin("a", 0);
    },
    answer: { outcome: "sent", hasContention: true },
    obstacles: { a: ["paced"] },
  },
  "full targets": {
    options: { hasContention: true },
    arrange: ({ host }) =>
      ["a", "b", "c"].forEach((id) => {
        for (let sent = 0; sent < 100; sent++) host.loads.begin(id, 0);
      }),
    answer: {
      outcome: "waits",
      queue: { position: 1, waitMs: expect.any(Number) },
    },
  },
  "a holder of the shared part at its load bound": {
    parts,
    arrange: ({ host }) => {
      host.cachedParts.recordPart("b", shared);
      for (let sent = 0; sent < 60; sent++) host.loads.begin("b", 0);
    },
    answer: { outcome: "sent", fetchFrom: "b" },
    obstacles: { b: ["at_load_bound"] },
  },
  "a prefill of the shared part": {
    parts,
    arrange: ({ host }) => {
      host.cachedParts.recordPart("b", shared);
      host.prefills.recordPeerPrefill("b", shared);
    },
    answer: { outcome: "waits_for_prefill", target: "b", prefillWaitMs: 30 },
  },
  "a request that crashes targets": {
    parts,
    arrange: ({ host }) =>
      host.quarantine.merge({
        ...{ key: "part:manual", generation: 0, lives: [1, 2, 3], trials: 0 },
        ...{ trialInMs: 4_000, expiresInMs: 60_000 },
      }),
    answer: {
      outcome: "refused",
      refusal: expect.objectContaining({
        ...{ code: "prompt_part_crashes_targets", retryAfterMs: 4_000 },
      }),
    },
    obstacles: { a: ["quarantined"], b: ["quarantined"], c: ["quarantined"] },
  },
  "a stream that this router does not know": {
    resumes: "earlier",
    arrange: ({ host }) => void Object.assign(host.streamOrigins, unknownHere),
    answer: { outcome: "asks_peers", streamVersion: "unanswered" },
  },
  "a stream of a version that few targets have": {
    resumes: "earlier",
    arrange: ({ host: { targets, streamOrigins } }, [a, b]) => {
      targets.put({ ...a as DirectTarget, softwareVersion: "v2" });
      const name = { workspace: undefined, requestId: "earlier" };
      streamOrigins.record(name, {
        ...b as DirectTarget,
        softwareVersion: "v1",
      });
    },
    answer: { outcome: "sent", streamVersion: "own" },
    obstacles: { a: ["other_version"] },
  },
};

describe("answerDryRun", () => {
  beforeEach(start);
  afterEach(() => void jest.useRealTimers());

  describe.each(Object.entries(situations))("with %s", (_name, situation) => {
    it("tells the outcome and the obstacles", async () => {
      const router = arrange(situation);
      const answer = await ask(router, situation);
      expect(answer).toMatchObject(situation.answer);
      const found = answer.targets.map(({ id, obstacles }) => [id, obstacles]);
      expect(Object.fromEntries(found)).toEqual({
        ...{ a: [], b: [], c: [] },
        ...situation.obstacles,
      });
    });

    it.each([
      ["the state", (router: DryRunRouter) => router.getState()],
      ["what the next requests get", play],
    ])("leaves %s as it was", async (_part, look) => {
      const unasked = look(arrange(situation), situation);
      start();
      const router = arrange(situation);
      for (let asked = 0; asked < 5; asked++) await ask(router, situation);
      expect(look(router, situation)).toEqual(unasked);
    });
  });

  it.each([
    ["a request", undefined, undefined, "/draft/"],
    ["a prompt", parts, undefined, "/stream/"],
    ["a stream that is taken up", undefined, "earlier", "/stream/"],
  ])(
    "takes a route of the service for %s",
    async (_name, asked, id, prefix) => {
      const { dryRunHost } = createDryRunRouter();
      const answer = await answerDryRun(dryRunHost, {
        place: { kind: "service", service: "cards" },
        ...{ workspace: "artists", parts: asked, resumes: id },
      });
      expect(answer.unsafeCoerce().route.prefix).toBe(prefix);
    },
  );

  it("differs from a choice that is made and not sent", () => {
    // The comparison of two routers finds what such an answer would change.
    const situation = situations["a target that has just started"] as Situation;
    const unasked = play(arrange(situation), situation);
    start();
    const router = arrange(situation);
    tryChooseTarget(router.host, toRequest(router, situation), () => true);
    expect(play(router, situation)).not.toEqual(unasked);
  });
});

function start(): void {
  jest.useRealTimers();
  jest.useFakeTimers({ now: startMs });
}

function arrange(situation: Situation): DryRunRouter {
  const router = createDryRunRouter(situation.options);
  const targets = ["a", "b", "c"].map((id) =>
    createTarget(id, { address: `10.0.0.1:${id}`, slots: 20 })
  );
  targets.forEach(router.host.targets.put);
  situation.arrange(router, targets);
  return router;
}

async function ask(
  { dryRunHost }: DryRunRouter,
  { parts: asked, resumes }: Situation,
): Promise<DryRunAnswer> {
  const path = resumes === undefined ? "/draft/1" : "/stream/1";
  const question: DryRunQuestion = {
    place: { kind: "path", host: "cards.example:80", path },
    ...{ workspace: undefined, resumes, parts: asked },
  };
  const answer = await answerDryRun(dryRunHost, question);
  return answer.unsafeCoerce();
}

function toRequest({ matcher }: DryRunRouter, situation: Situation) {
  const prefix = situation.resumes === undefined ? "/draft/1" : "/stream/1";
  const route = matcher.tryFindRoute("cards.example", prefix);
  if (route === undefined) throw new Error("There is no route");
  return createRequest(route, {
    prompt: situation.parts && {
      ...{ model: "writer", parts: situation.parts, promptTokens: 9_100 },
      ...{ maxOutputTokens: 80, hintedOutputTokens: undefined },
    },
  });
}

/** Lets requests take what they get; returns it with the state after them. */
function play(router: DryRunRouter, situation: Situation) {
  const { host, queue } = router;
  const got: unknown[] = [];
  for (let sent = 0; sent < 6; sent++) {
    jest.advanceTimersByTime(40);
    const request = toRequest(router, situation);
    const quarantine = createDirectQuarantine({
      ...host,
      crashes: { canRetry: () => true, recordCrash: () => 1 },
      targetCrashes: { ...host.targetCrashes, check: () => never },
      abortedAttempts: { add: () => undefined },
    }, request);
    const mayUse = host.serviceVersions.mayBegin;
    got.push(quarantine.tryRefuse()?.retryAfterMs);
    if (host.contention.isActive()) {
      const { end: _, ...entry } = {
        end: undefined,
        ...queue.enter(createQueuedRequest({ queue }, request, mayUse)),
      };
      got.push(JSON.stringify(entry));
    }
    const choice = tryChooseTarget(host, request, mayUse);
    got.push(choice);
    if (choice === undefined) {
      got.push(createUnservedEnd(host, "cards", {
        ...{ lastRefusal: undefined, lastQueue: undefined, timeLeftMs: 500 },
        streamVersion: { mayUse, tryGetRefusal: () => undefined },
      }));
      continue;
    }
    got.push(host.limits.tryTake(choice.target.address)?.tryUse());
    host.health.recordSent(choice.target);
    host.loads.begin(choice.target.id, 0);
  }
  return { got, state: router.getState() };
}

const never = new Promise<boolean>(() => undefined);
