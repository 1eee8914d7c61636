/** Callers of a soak, who keep their connections until a router closes them. */

import { Agent, type IncomingMessage, request as httpRequest } from "node:http";
import { sleep } from "../harness/wait.ts";
import {
  digestHeader,
  getDigest,
  readSlowly,
  sendInPieces,
  shorten,
} from "./long_bodies.ts";
import {
  type CallerRequest,
  type CallerResult,
  isStream,
  type SoakRouteKind,
} from "./observations.ts";
import {
  changingKeys,
  extraPrefixes,
  getChangingKind,
  getLastingPrefix,
  lastingKey,
  movingPrefixes,
  routeKinds,
  soakHost,
} from "./operator.ts";
import type { RouterProcess } from "./router_process.ts";

/** Time after the deadline at which a caller gives up, in milliseconds. */
const patienceMs = 300;

/** Longest time of a caller between two requests, in milliseconds. */
const maxThinkMs = 160;

/** Time after which a caller whose router is not there tries another, in ms. */
const absenceMs = 500;

/** Most requests with which a caller takes one stream up. */
const maxTakes = 3;

/** Copies of the order in a long body, which has some 60 KB. */
const longBodyOrders = 4_000;

/** Chances of what a caller does, such as leaving a router that answers. */
const chances = {
  ...{ lastingRoute: 0.7, lastingKey: 0.9, longWork: 0.15, move: 0.02 },
  leaveRefusal: 0.3,
  ...{ stoppingRouter: 0.2, leaveStream: 0.25, takeUp: 0.9 },
} as const;

/** What callers need from the soak. */
export interface CallersHost {
  readonly routers: readonly RouterProcess[];
  readonly services: readonly string[];
  readonly requests: CallerRequest[];
  /** Prefix of all request ids. */
  readonly run: string;
  random(): number;
}

/** Starts callers; returns a function that waits for their last requests. */
export function startCallers(
  host: CallersHost,
  count: number,
): () => Promise<void> {
  let isStopped = false;
  const callers = Array.from({ length: count }, runCaller);

  return async () => {
    isStopped = true;
    await Promise.all(callers);
  };

  async function runCaller(): Promise<void> {
    while (!isStopped) {
      const agent = new Agent({ keepAlive: true, maxSockets: 1 });
      await useRouter(chooseRouter(), agent);
      agent.destroy();
    }
  }

  /** Sends requests until the router closes or refuses the connection. */
  async function useRouter(router: RouterProcess, agent: Agent): Promise<void> {
    let isOpen = true;
    while (!isStopped && isOpen) {
      await sleep(host.random() * maxThinkMs);
      const request = createRequest(router.id);
      host.requests.push(request);
      const path = createPath(request);
      request.result = await send(request, { router, agent, path });
      await takeUpStream(request, path);
      const { status } = request.result;
      const isLeaving = isChance(status === 503 ? "leaveRefusal" : "move");
      isOpen = status !== undefined && !isLeaving;
    }
  }

  /** Takes a stream up at any router until it is whole or can't go on. */
  async function takeUpStream(
    begun: CallerRequest,
    path: string,
  ): Promise<void> {
    let { lastEventId } = begun;
    let request = begun;
    for (let takes = 0; takes < maxTakes; takes++) {
      const { body = "", isComplete = true } = request.result ?? {};
      lastEventId = getLastEvent(body) ?? lastEventId;
      const isBroken = begun.kind === "resumable" && lastEventId > 0 &&
        !isComplete;
      if (!isBroken || isStopped || !isChance("takeUp")) return;
      const isRefused = request.result?.status === undefined;
      if (isRefused || !isAnyRunning()) await sleep(absenceMs);
      const router = chooseRouter();
      request = {
        ...begun,
        ...{ id: `${host.run}-${host.requests.length}`, router: router.id },
        ...{ resumes: begun.id, lastEventId, leavesAfter: undefined },
        ...{ sentAt: performance.now(), result: undefined },
      };
      host.requests.push(request);
      const agent = new Agent();
      request.result = await send(request, { router, agent, path });
      agent.destroy();
    }
  }

  function isAnyRunning(): boolean {
    return host.routers.some((router) => router.isRunning());
  }

  function chooseRouter(): RouterProcess {
    const running = host.routers.filter((router) =>
      router.isRunning() && (!router.isStopping() || isChance("stoppingRouter"))
    );
    return choose(running.length > 0 ? running : host.routers);
  }

  function createRequest(router: string): CallerRequest {
    const { kind, prefix } = chooseRoute();
    const isLeaving = kind === "resumable" && isChance("leaveStream");
    return {
      ...{ id: `${host.run}-${host.requests.length}`, router, kind, prefix },
      key: isChance("lastingKey") ? lastingKey : choose(changingKeys),
      parts: isStream(kind)
        ? ["shared", prefix, `${host.requests.length}`]
        : [],
      cause: undefined,
      ...{ lastEventId: 0, resumes: undefined },
      ...{ leavesAfter: isLeaving ? 2 : undefined, manner: "plain" },
      deadlineMs: 1_500 + Math.floor(host.random() * 1_500),
      sentAt: performance.now(),
      result: undefined,
    };
  }

  function chooseRoute(): Pick<CallerRequest, "kind" | "prefix"> {
    if (isChance("lastingRoute")) {
      const kind: SoakRouteKind = choose(routeKinds);
      return { kind, prefix: getLastingPrefix(kind, choose(host.services)) };
    }
    const prefix = choose([...movingPrefixes, ...extraPrefixes]);
    return { kind: getChangingKind(prefix), prefix };
  }

  function createPath({ kind, prefix }: CallerRequest): string {
    const maxMs = isChance("longWork") ? 600 : 60;
    const events = isStream(kind) ? 4 + Math.floor(host.random() * 12) : 0;
    const ms = Math.ceil(host.random() * maxMs / (events > 0 ? 4 : 1));
    return `${prefix}work?events=${events}&ms=${ms}`;
  }

  function choose<T>(values: readonly T[]): T {
    return values[Math.floor(host.random() * values.length)] as T;
  }

  function isChance(name: keyof typeof chances): boolean {
    return host.random() < chances[name];
  }
}

/** Returns the number of the last whole event; undefined without one. */
function getLastEvent(body: string): number | undefined {
  const ids = [...body.matchAll(/id: (\d+)\ndata: [^\n]*\n\n/g)];
  const last = ids.at(-1)?.[1];
  return last === undefined ? undefined : Number(last);
}

/** Sends a request and waits for the end of its response. */
export function send(
  request: CallerRequest,
  { router, agent, path, headers = {} }: {
    readonly router: RouterProcess;
    readonly agent: Agent;
    readonly path: string;
    /** Headers that replace those of the request. */
    readonly headers?: Readonly<Record<string, string>>;
  },
): Promise<CallerResult> {
  const { id, key, deadlineMs, kind, lastEventId, parts, resumes } = request;
  const { manner } = request;
  return new Promise((resolve) => {
    let head: IncomingMessage | undefined;
    let headAt: number | undefined;
    let openedAt: number | undefined;
    let writtenAt: number | undefined;
    let connection: CallerResult["connection"] = "none";
    let gaveUp = false;
    let hasLeft = false;
    let isMalformed = false;
    const chunks: Buffer[] = [];
    const isPost = kind === "unsafe";
    const body = createBody(request);
    const isInPieces = manner === "pieces" || manner === "chunked_pieces";
    const message = httpRequest({
      ...{ host: router.address, port: router.port, agent, path },
      method: isPost ? "POST" : "GET",
      headers: {
        ...{ host: soakHost, "x-request-id": id, "x-credential": key },
        ...{ "x-deadline-ms": deadlineMs, "x-via": router.id },
        ...(parts.length > 0 ? createPromptHeaders(parts) : {}),
        ...(lastEventId > 0 ? { "last-event-id": lastEventId } : {}),
        ...(resumes === undefined ? {} : { resumes }),
        ...(isInPieces ? { [digestHeader]: getDigest(body) } : {}),
        ...(manner === "pieces" ? { "content-length": body.length } : {}),
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      gaveUp = true;
      message.destroy();
    }, deadlineMs + patienceMs);
    message.on("socket", (socket) => {
      if (!socket.connecting) {
        connection = "kept";
        return;
      }
      socket.once("connect", () => {
        openedAt = performance.now();
        connection = "new";
      });
    });
    message.on("response", (response) => {
      head = response;
      headAt = performance.now();
      response.on("data", (chunk: Buffer) => {
        chunks.push(chunk);
        if (request.leavesAfter === undefined) return;
        const events = getLastEvent(Buffer.concat(chunks).toString()) ?? 0;
        if (events < request.leavesAfter) return;
        hasLeft = true;
        message.destroy();
      });
      if (manner === "slow_reader") readSlowly(response);
      response.on("error", recordError);
      response.on("close", finish);
    });
    message.on("error", (error) => {
      recordError(error);
      if (head === undefined) finish();
    });
    message.on("finish", () => writtenAt = performance.now());
    if (isInPieces) {
      void sendInPieces(message, body, { lengthMs: deadlineMs / 4 });
    } else message.end(isPost ? body : undefined);

    function recordError(error: NodeJS.ErrnoException): void {
      isMalformed ||= error.code?.startsWith("HPE_") === true;
    }

    function finish(): void {
      clearTimeout(timer);
      const headers = head?.headers ?? {};
      resolve({
        ...{ status: head?.statusCode, headAt, gaveUp, isMalformed },
        ...{ connection, openedAt, writtenAt },
        body: isStream(kind) ? received() : shorten(received()),
        // What arrives after the caller has left is dropped.
        isComplete: head?.complete === true && !hasLeft,
        signature: headers["x-server-stamp"]?.toString(),
        isLeaving: headers["server-leaving"] === "1",
        responseId: headers["x-request-id"]?.toString(),
        endedAt: performance.now(),
      });
    }

    function received(): string {
      return Buffer.concat(chunks).toString();
    }
  });
}

function createPromptHeaders(
  parts: readonly string[],
): Readonly<Record<string, string>> {
  return {
    ...{ "x-model": "m", "x-tokens": `${parts.length * 50},80` },
    "x-prompt-prefix": parts.map((id) => `${id}:50`).join(","),
  };
}

/** Creates a body that is the same each time that a crashing request comes. */
function createBody({ id, cause, manner }: CallerRequest): string {
  if (manner !== "plain") return `order ${id} `.repeat(longBodyOrders);
  return cause === "request" ? "order that crashes" : `order ${id}`;
}
