/** Two routers, three targets with agents and the store, all in memory. */

import type { RequestHost } from "../../src/request/request_host.ts";
import { runRequest } from "../../src/request/request_run.ts";
import type { AgentCalls, AgentEvents } from "../../src/types/agent_calls.ts";
import type { Platform } from "../../src/types/platform.ts";
import type { Reply, RequestEnd } from "../../src/types/reply.ts";
import type { Work } from "../../src/types/work.ts";
import { createRunOrder } from "../fakes/agent_parts.ts";
import type { FakeTargets } from "../fakes/fake_targets.ts";
import { createMemoryPlatform } from "../fakes/memory_platform.ts";
import {
  createRequestHost,
  createWork,
  type Libraries,
} from "../support/request_history.ts";
import { createSeededRandom } from "../support/seeded_random.ts";
import { createLink } from "./link.ts";
import { createPlace, type Draft, fillerPrefix, type Place } from "./place.ts";
import {
  type CallerView,
  type Cell,
  isChatKind,
  type Observation,
  type Step,
} from "./shapes.ts";
import { strikes } from "./strikes.ts";

/** Runs a request; the product's, or a naive one that is compared with it. */
export type RequestRunner = (
  host: RequestHost,
  work: Work,
  reply: Reply,
) => Promise<unknown>;

/** Times at which a caller with a key asks again, in ms after its end. */
const resendsMs: readonly number[] = [300, 5_000];

/** Time after which everything has ended, in milliseconds. */
const longestMs = 30_000;

/** Time in which messages that were held arrive, in milliseconds. */
const settleMs = 8_000;

/** Time at which a waiting request is struck, in milliseconds. */
const queuedMs = 40;

/** Longest extra time of one message, in milliseconds. */
const maxJitterMs = 6;

interface Router {
  readonly host: RequestHost;
  isKilled(): boolean;
  kill(): void;
}

/** Runs one cell under paused time and returns what was seen. */
export async function runCell(
  cell: Cell,
  options: {
    readonly libraries: Libraries;
    readonly runner?: RequestRunner;
  },
): Promise<Observation> {
  const random = createSeededRandom(cell.seed);
  const platform = createMemoryPlatform();
  const drafts: Draft[] = [];
  const callers: CallerView[] = [];
  let hasStruck = false;
  let noteKill = (): void => undefined;
  const places = [1, 2, 3].map((number) =>
    createPlace(`agent-${number}`, {
      drafts,
      isStream: cell.kind === "chat_streamed",
      digests: options.libraries.digests,
      onRun: (target) => strike("running", target),
      getJitterMs: () => Math.floor(random() * maxJitterMs),
    })
  );
  const ways = new Map(places.map(({ id, way }) => [id, way]));
  const first = createRouter("router-1");
  const second = createRouter("router-2");

  if (cell.step === "queued") fillSlots();
  await send(first, "request-1");
  strike("told", "");
  if (cell.kind === "call_keyed") {
    for (const [index, resendMs] of resendsMs.entries()) {
      await wait(resendMs);
      await send(second, `request-${index + 2}`);
    }
  }
  await wait(settleMs);
  return {
    cell,
    hasStruck,
    callers: callers.map(addOwnRuns),
    drafts: getTexts(),
  };

  function getTexts(): readonly string[] {
    return drafts.map(({ text }) => text);
  }

  function addOwnRuns(caller: CallerView): CallerView {
    const own = drafts.filter(({ requestId }) =>
      requestId === caller.requestId
    );
    return { ...caller, ownRuns: own.length };
  }

  function createRouter(id: string): Router {
    let killed = false;
    const isStruck = id === "router-1";
    const link = createLink(ways, {
      onDispatch: (target) => isStruck && strike("before_dispatch", target),
      onTheWay: (target) => {
        if (isStruck) setTimeout(() => strike("on_the_way", target), 1);
      },
      onData: (target) => isStruck && strike("mid_answer", target),
      onEndSent: (target) => isStruck && strike("answered", target),
    });
    const host = createRequestHost(options.libraries, {
      id,
      platform: createStore(isStruck, () => killed),
      targets: {
        getMembers: () =>
          places.map(({ member }) => member)
            .filter(({ state }) => state === "live"),
      } as unknown as FakeTargets,
      calls: silenceDead(link, () => killed),
    });
    return {
      host,
      isKilled: () => killed,
      kill: () => {
        killed = true;
        noteKill();
      },
    };
  }

  /** The store as one router reaches it. */
  function createStore(isStruck: boolean, isKilled: () => boolean): Platform {
    const store = platform.connect();
    return {
      ...store,
      put: (key, value, putOptions) => {
        if (isStruck) strike("before_claim", "");
        // A dead router writes nothing that anyone reads.
        const shownKey = isKilled() ? `dead/${key}` : key;
        return store.put(shownKey, value, putOptions).map((revision) => {
          if (isStruck) strike("after_claim", "");
          return revision;
        });
      },
    };
  }

  async function send(router: Router, requestId: string): Promise<void> {
    let end: RequestEnd | undefined;
    let text = "";
    let runsWhenTold = 0;
    await new Promise<void>((resolve) => {
      noteKill = resolve;
      setTimeout(resolve, longestMs);
      const run = options.runner ?? runRequest;
      void run(router.host, createRequest(requestId), {
        disconnectSignal: new AbortController().signal,
        start: () => undefined,
        write: (data) => {
          if (!router.isKilled()) text += Buffer.from(data).toString();
          return undefined;
        },
        end: (value) => {
          if (router.isKilled()) return;
          end = value;
          runsWhenTold = drafts.length;
          resolve();
        },
      });
    });
    callers.push({
      requestId,
      outcome: end?.outcome,
      code: end?.report?.code ?? "",
      text,
      runsWhenTold,
      ownRuns: 0,
      hasRouterDied: router.isKilled(),
    });
  }

  function createRequest(requestId: string): Work {
    const isChat = isChatKind(cell.kind);
    return createWork({
      requestId,
      call: "call-1",
      kind: isChat ? "chat" : "call",
      conversation: isChat ? "chat-1" : "",
      messageCount: isChat ? 1 : 0,
      repeatable: isChat || cell.kind === "call_repeatable",
      idempotencyKey: cell.kind === "call_keyed" ? "key-1" : undefined,
      deadlineAt: Date.now() + 10_000,
    });
  }

  /** Takes every slot, so that the request has to wait. */
  function fillSlots(): void {
    for (const { id, way } of places) {
      way.service?.run(createRunOrder(1, {
        requestId: `${fillerPrefix}-${id}`,
        fingerprint: `${fillerPrefix}-${id}`,
      }));
    }
    setTimeout(() => strike("queued", ""), queuedMs);
  }

  /** Strikes once, at the cell's step. */
  function strike(step: Step, target: string): void {
    if (step !== cell.step || hasStruck) return;
    hasStruck = true;
    const place = places.find(({ id }) => id === target) ?? getFirstPlace();
    for (const fault of cell.faults) {
      strikes[fault]({ places, platform, place, killRouter: first.kill });
    }
  }

  /** The place that the request goes to first. */
  function getFirstPlace(): Place {
    const name = isChatKind(cell.kind) ? "chat-1" : "request-1";
    const ranked = first.host.placement.rankTargets(
      `team/${name}`,
      places.map(({ member }) => member),
    );
    return places.find(({ id }) => id === ranked[0]?.id) as Place;
  }
}

/** A dead router sends nothing more; what it hears does not matter. */
function silenceDead(calls: AgentCalls, isDead: () => boolean): AgentCalls {
  return {
    run: (dispatch) => isDead() ? silence : calls.run(dispatch),
    attach: (placed, offset) =>
      isDead() ? silence : calls.attach(placed, offset),
    settle: (placed) => isDead() ? forever() : calls.settle(placed),
    cancel: (placed) => {
      if (!isDead()) calls.cancel(placed);
    },
  };
}

/** Events that never come. */
const silence: AgentEvents = {
  next: forever,
  return: forever,
  [Symbol.asyncIterator]() {
    return this;
  },
};

function forever<T>(): Promise<T> {
  return new Promise(() => undefined);
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
