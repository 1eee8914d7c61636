/** A target of a soak, over several lives of its process. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { sleep } from "../harness/wait.ts";
import type { LoopClock } from "./loop_clock.ts";
import type {
  Arrival,
  AskedPauseNotice,
  CrashCause,
  LimitNotice,
  LimitSpan,
  TargetLife,
} from "./observations.ts";
import { createBodyRecord, shorten } from "./long_bodies.ts";
import { oddNumbers } from "./odd_callers.ts";
import type { SoakStore } from "./soak_store.ts";
import { type AnswerName, answers, createEvents } from "./target_answers.ts";

/** Interval at which a target writes its entry, in milliseconds. */
const heartbeatMs = 400;

/** Time until a target that has ended is replaced, in milliseconds. */
const replacementMs = 400;

/** Time for which a target is down that crashes at a request, in ms. */
const crashDownMs = 1_200;

/** Time from the first event to a crash that follows it, in milliseconds. */
const lateCrashMs = 30;

/** Versions of the software of targets, of which pairs have the same. */
const versions = ["v1", "v1.1"] as const;

/** Chance that a target under a new id runs the other version. */
const versionChangeChance = 0.3;

/** Chance that a response states odd numbers of the target. */
const oddNumberChance = 0.05;

/** Port at the target's own address. */
const port = 7_000;

/** A fault of the answers. */
export interface AnswerFault {
  readonly answer: AnswerName;
  /** Share of the requests that get it. */
  readonly share: number;
  readonly retryAfterS: number;
}

/** Zones of the targets; the last may be evacuated. */
export const zones = ["zone-a", "zone-b"] as const;

/** What a target needs from the soak. */
export interface SoakTargetHost {
  readonly store: SoakStore;
  readonly clock: LoopClock;
  readonly arrivals: Arrival[];
  readonly pauses: AskedPauseNotice[];
  readonly limits: LimitSpan[];
  readonly lives: TargetLife[];
  readonly limitNotices: LimitNotice[];
  random(): number;
}

/** A target that a soak controls. */
export type SoakTarget = ReturnType<typeof createSoakTarget>;

/** Creates a target that is not started yet. */
export function createSoakTarget(
  host: SoakTargetHost,
  { index, service, address }: {
    readonly index: number;
    readonly service: string;
    readonly address: string;
  },
) {
  const faults = new Set<AnswerFault>();
  const zone = zones[Math.floor(index / 2) % zones.length] ?? "";
  const previousIds = new WeakMap<Socket, string>();
  let incarnation = 0;
  let id = `t${index}`;
  let life = "";
  let born = 0;
  let sequence = 0;
  let state: "ready" | "draining" | "removed" | "down" = "down";
  let isLeaving = false;
  let isBusy = false;
  let limit: LimitSpan | undefined;
  let version: string = versions[Math.floor(index / 2) % versions.length] ?? "";
  let currentLife: TargetLife | undefined;
  let stillUntil = 0;
  let server: Server | undefined;
  const heartbeat = setInterval(tryWriteEntry, heartbeatMs);

  return {
    ...{ service, start, misbehave, standStill, sayLeaving, nameLimit },
    ...{ leave, crash, close },
  };

  async function start(keepsId = true): Promise<void> {
    incarnation++;
    if (!keepsId) id = `t${index}n${incarnation}`;
    // A replacement may run other software.
    if (!keepsId && host.random() < versionChangeChance) {
      version = versions.find((other) => other !== version) ?? version;
    }
    life = `${id}#${incarnation}`;
    born = Date.now();
    isLeaving = false;
    endLimit();
    const started = createServer(handle);
    started.keepAliveTimeout = 10_000;
    server = started;
    await new Promise<void>((resolve, reject) => {
      started.on("error", reject);
      started.listen(port, address, resolve);
    });
    state = "ready";
    const from = performance.now();
    currentLife = { life, service, version, from, to: Infinity };
    host.lives.push(currentLife);
    tryWriteEntry();
  }

  function tryWriteEntry(): boolean {
    if (state !== "ready" && state !== "draining") return true;
    return host.store.tryPutTarget({ targetId: id, life, state }, {
      ...{ Service: service, Address: `${address}:${port}`, Zone: zone },
      ...{ Version: version, Slots: 64, State: state, ColdLeftMs: 0 },
      ...{ Seq: ++sequence, born },
    });
  }

  /** Adds a fault of the answers for a time. */
  async function misbehave(
    fault: AnswerFault,
    lengthMs: number,
  ): Promise<void> {
    faults.add(fault);
    await sleep(lengthMs);
    faults.delete(fault);
  }

  /** Does no work for a time, and goes on with all requests then. */
  async function standStill(lengthMs: number): Promise<void> {
    stillUntil = Math.max(stillUntil, performance.now() + lengthMs);
    await sleep(lengthMs);
  }

  /** Acts after a time, and not while the target stands still. */
  function after(ms: number, act: () => void): void {
    setTimeout(() => {
      const stillMs = stillUntil - performance.now();
      if (stillMs > 0) after(stillMs, act);
      else act();
    }, ms);
  }

  /** Names in all answers a rate that it takes, for a time. */
  async function nameLimit(perS: number, lengthMs: number): Promise<void> {
    if (state !== "ready") return;
    endLimit();
    const span = { life, perS, from: performance.now(), to: Infinity };
    limit = span;
    host.limits.push(span);
    await sleep(lengthMs);
    if (limit === span) endLimit();
  }

  function endLimit(): void {
    if (limit !== undefined) limit.to = performance.now();
    limit = undefined;
  }

  /** Says in all answers that it leaves, with no word to the store. */
  async function sayLeaving(lengthMs: number): Promise<void> {
    await replace(false, async () => {
      isLeaving = true;
      await sleep(lengthMs);
    });
  }

  /** Writes `draining` or removes its entry, and serves on for a time. */
  async function leave(
    how: "draining" | "removed",
    servesMs: number,
  ): Promise<void> {
    await replace(false, async () => {
      state = how;
      const tryTell = how === "draining"
        ? tryWriteEntry
        : () => host.store.tryRemoveTarget(id);
      while (!tryTell()) await sleep(50);
      await sleep(servesMs);
    });
  }

  /** Ends without a word; its entry expires or is taken over. */
  async function crash(downMs: number, keepsId: boolean): Promise<void> {
    await replace(keepsId, async () => {
      state = "down";
      await stopServer();
      await sleep(downMs);
    });
  }

  /** Ends at once, also while it leaves; another process follows. */
  function crashNow(): void {
    if (!isBusy) return void crash(crashDownMs, false);
    state = "down";
    void stopServer();
  }

  /** Plays the end of this process and starts the next, if it may end now. */
  async function replace(
    keepsId: boolean,
    playEnd: () => Promise<void>,
  ): Promise<void> {
    if (isBusy || state !== "ready") return;
    isBusy = true;
    await playEnd();
    if (server !== undefined) {
      state = "down";
      // It ends whether or not the store takes the removal.
      host.store.tryRemoveTarget(id);
      await stopServer();
      await sleep(replacementMs);
    }
    await start(keepsId);
    isBusy = false;
  }

  async function stopServer(): Promise<void> {
    if (currentLife !== undefined) currentLife.to = performance.now();
    const stopped = server;
    server = undefined;
    host.arrivals
      .filter((arrival) =>
        arrival.life === life && arrival.completedAt === undefined &&
        arrival.closedAt === undefined
      )
      .forEach((arrival) => arrival.brokeOff = true);
    stopped?.closeAllConnections();
    await new Promise((resolve) => stopped?.close(resolve) ?? resolve(0));
  }

  function handle(request: IncomingMessage, response: ServerResponse): void {
    request.on("error", () => undefined);
    response.on("error", () => undefined);
    const { headers, socket } = request;
    const router = headers["x-via"]?.toString();
    const body = createBodyRecord(request);
    if (router === undefined) return after(0, () => response.end(listParts()));
    const requestId = String(headers["x-request-id"]);
    const { searchParams } = new URL(request.url ?? "/", "http://target");
    const [events = 0, stepMs = 0, size = 0] = ["events", "ms", "size"]
      .map((name) => Number(searchParams.get(name)));
    const work = { events, stepMs };
    const arrival: Arrival = {
      ...{ requestId, router, life, targetId: id, service, zone },
      at: host.clock.getEarliest(),
      lastEventId: Number(headers["last-event-id"] ?? 0),
      workspace: headers["x-tenant"]?.toString(),
      cause: getCrashCause(searchParams.get("crash")),
      ...{ kind: "run", status: undefined, body: "" },
      ...{ completedAt: undefined, closedAt: undefined, brokeOff: false },
      hasOtherBody: false,
    };
    host.arrivals.push(arrival);
    response.on("finish", () => arrival.completedAt = performance.now());
    response.on("close", () => {
      if (response.writableFinished) return;
      arrival.closedAt = host.clock.getEarliest();
    });
    request.on("end", () => arrival.hasOtherBody = body.isOther());
    if (arrival.cause !== undefined && headers["x-expect-instance"] === id) {
      if (searchParams.get("moment") !== "event") return crashNow();
      sendFirstEvent(response, arrival);
      return void setTimeout(() => {
        if (arrival.life === life) crashNow();
      }, lateCrashMs);
    }
    const previousId = previousIds.get(socket);
    previousIds.set(socket, requestId);
    if (isLeaving) response.setHeader("Server-Leaving", "1");
    if (limit !== undefined) sendLimit(limit, { router, response });
    response.setHeader("X-Instance", id);
    if (host.random() < oddNumberChance) sayOddNumbers(response);
    const text = work.events > 0
      ? createEvents(arrival, work).join("")
      : `${requestId} ${life} ${"x".repeat(size || work.stepMs * 10)}`;
    arrival.body = shorten(text);
    const fault = [...faults].find(({ share }) => host.random() < share);
    const retryAfterS = fault?.retryAfterS ?? 0;
    response.on("finish", () => {
      const isPause = response.hasHeader("retry-after");
      const at = performance.now();
      const pauseMs = retryAfterS * 1_000;
      if (isPause) {
        host.pauses.push({ router, life: arrival.life, at, pauseMs });
      }
    });
    const isExpected = headers["x-expect-instance"] === id;
    const exchange = {
      ...{ request, response, arrival, work, previousId, retryAfterS, after },
      ...{ body: text, isUpload: body.isLong, share: host.random() },
    };
    const answerName = isExpected ? fault?.answer ?? "served" : "wrong_target";
    const answer = answers[answerName];
    if (body.isLong && answerName !== "cut_upload") {
      request.on("end", () => answer(exchange));
    } else answer(exchange);
  }

  /** Writes a list of cached parts, of which one may have odd tokens. */
  function listParts(): string {
    const texts = oddNumbers.filter((text) => /^-?\d/.test(text));
    const odd = texts[sequence % texts.length] ?? "0";
    const rows = `[["","shared",50,"m"],["","odd",${odd},"m"]]`;
    return `{"born":${born},"held":${rows}}`;
  }

  function sayOddNumbers(response: ServerResponse): void {
    const pick = () =>
      oddNumbers[Math.floor(host.random() * oddNumbers.length)] ?? "0";
    response.setHeader("X-Server-Load", `${pick()},${pick()},${pick()}`);
    response.setHeader("X-Cold-Ms", pick());
  }

  function sendLimit(
    { life, perS }: LimitSpan,
    { router, response }: {
      readonly router: string;
      readonly response: ServerResponse;
    },
  ): void {
    response.setHeader("Server-Limit", String(perS));
    response.on("finish", () => {
      host.limitNotices.push({ router, life, at: performance.now() });
    });
  }

  async function close(): Promise<void> {
    clearInterval(heartbeat);
    state = "down";
    await stopServer();
  }
}

/** Sends the head and the first event of a stream. */
function sendFirstEvent(
  response: ServerResponse,
  { requestId, life }: Arrival,
): void {
  response.writeHead(200, {
    "Content-Type": "text/event-stream",
    ...{ "X-Request-Id": requestId, "X-Server-Stamp": life },
  });
  response.write(
    createEvents(
      { ...{ requestId, life }, lastEventId: 0 } as Arrival,
      { events: 2, stepMs: 0 },
    )[0],
  );
}

function getCrashCause(text: string | null): CrashCause | undefined {
  return text === "request" || text === "part" ? text : undefined;
}
