/** Stands in for a target on the platform, over HTTP on loopback. */

import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { cachedPartsPath } from "../../src/platform/wire_names.ts";
import {
  type Behaviour,
  type BreakKind,
  createSentResponse,
  endsAfterEvent,
  type ResponseBehaviour,
} from "./target_behaviour.ts";
import type { TargetResponse, TargetRun } from "./answer_checker.ts";

/** A request as the target received it. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

/** Handles a request that is addressed to the target. */
export type RequestHandler = (
  request: ReceivedRequest,
  response: ServerResponse,
) => void;

/** What a target says of itself in all its responses. */
export type TargetMood = keyof typeof moods;

/** The headers of all responses of a target, and whether it runs requests. */
const moods = {
  serving: { headers: {}, refuses: false },
  leaving: { headers: { "Server-Leaving": "1" }, refuses: false },
  /** Longer than a test lasts. */
  pausing: {
    headers: { "X-Not-Run": "full", "Retry-After": "40.5" },
    refuses: true,
  },
  pausingUntilDate: {
    headers: {
      "X-Not-Run": "full",
      "Retry-After": "Wed, 21 Oct 2026 07:28:00 GMT",
    },
    refuses: true,
  },
} as const satisfies Record<string, {
  readonly headers: Readonly<Record<string, string>>;
  readonly refuses: boolean;
}>;

/** A target that a test controls. */
export interface TargetStandIn {
  readonly id: string;
  /** Host and port of the target. */
  readonly address: string;
  setHandler(handler: RequestHandler): void;
  setMood(mood: TargetMood): void;
  /** Returns the requests that ran, in order of arrival. */
  getReceivedRequests(): readonly ReceivedRequest[];
  /** Returns the number of requests that arrived, run or not. */
  countArrivals(): number;
  /** Creates the entry with which the target registers in the store. */
  createEntry(
    state?: "ready" | "draining",
    changes?: Readonly<Record<string, unknown>>,
  ): Readonly<Record<string, unknown>>;
  close(): Promise<void>;
}

/** Starts a target that responds to each request with its path. */
export async function startTarget(
  id: string,
  service: string,
): Promise<TargetStandIn> {
  const received: ReceivedRequest[] = [];
  let arrivals = 0;
  let mood: TargetMood = "serving";
  let handler: RequestHandler = (request, response) => {
    setIdentityHeaders(request, response, id);
    response.end(`done ${request.path}`);
  };
  const server = createServer((message, response) => {
    void handleRequest(message, response);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;

  return {
    id,
    address,
    setHandler: (value) => {
      handler = value;
    },
    setMood: (value) => {
      mood = value;
    },
    getReceivedRequests: () => received,
    countArrivals: () => arrivals,
    createEntry: (state = "ready", changes = {}) => ({
      Service: service,
      Address: address,
      Zone: "zone-a",
      Version: "v1",
      Slots: 8,
      State: state,
      ColdLeftMs: 0,
      Seq: 1,
      ...changes,
    }),
    close: async () => {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };

  async function handleRequest(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    arrivals++;
    const chunks: Buffer[] = [];
    for await (const chunk of message) chunks.push(chunk as Buffer);
    for (const [name, value] of Object.entries(moods[mood].headers)) {
      response.setHeader(name, value);
    }
    const { "x-request-id": requestId = "" } = message.headers;
    if (moods[mood].refuses) {
      response.writeHead(503, { "X-Request-Id": requestId }).end();
      return;
    }
    if (message.url === cachedPartsPath) {
      response.end(JSON.stringify({ held: [["", "part-1", 800, "writer"]] }));
      return;
    }
    if (message.headers["x-expect-instance"] !== id) {
      const headers = { "X-Request-Id": requestId, "X-Instance": id };
      response.writeHead(421, { ...headers, "X-Not-Run": "other" }).end();
      return;
    }
    const request: ReceivedRequest = {
      method: message.method ?? "",
      path: message.url ?? "",
      headers: message.headers,
      body: Buffer.concat(chunks).toString(),
    };
    received.push(request);
    handler(request, response);
  }
}

/** Sets the headers that tie a response to its request and target. */
export function setIdentityHeaders(
  request: ReceivedRequest,
  response: ServerResponse,
  id: string,
): void {
  response.setHeader("X-Request-Id", request.headers["x-request-id"] ?? "");
  response.setHeader("X-Server-Stamp", `stamp of ${id}`);
}

/** A request of a test's script, and how this run of it responds. */
interface ScriptedRun {
  readonly request: ReceivedRequest;
  readonly response: ServerResponse;
  readonly target: string;
  /** Number of the run, from 1. */
  readonly run: number;
  /** True when a body without length ends with its connection. */
  readonly closesAfterBody: boolean;
}

/** A behaviour that a target can play once it has a connection. */
export type PlayedBehaviour = ResponseBehaviour | {
  readonly kind: Exclude<Behaviour["kind"], "response" | "not_sent">;
};

/** Time for sent bytes to arrive before a response breaks off, in ms. */
const breakDelayMs = 5;

/** How a response breaks off after its last bytes. */
const breaks: Readonly<Record<BreakKind, (response: ServerResponse) => void>> =
  {
    reset: ({ socket }) => socket?.resetAndDestroy(),
    ended: ({ socket }) => socket?.end(),
    stalled: () => undefined,
  };

/** What a target does that sends no response of its run. */
const withoutResponse: Readonly<
  Record<
    Exclude<PlayedBehaviour["kind"], "response">,
    {
      readonly mayHaveRun: boolean;
      readonly play: (scripted: ScriptedRun) => void;
    }
  >
> = {
  refused: {
    mayHaveRun: false,
    play: ({ request, response, target }) => {
      setIdentityHeaders(request, response, target);
      response.writeHead(503, { "X-Not-Run": "full" });
      response.end();
    },
  },
  wrong_target: {
    mayHaveRun: false,
    play: ({ request, response }) => {
      response.writeHead(421, {
        "X-Request-Id": request.headers["x-request-id"] ?? "",
        "X-Instance": "another",
        "X-Not-Run": "other",
      });
      response.end();
    },
  },
  lost: {
    mayHaveRun: true,
    play: ({ response }) => response.socket?.resetAndDestroy(),
  },
  spoiled: {
    mayHaveRun: true,
    play: ({ request, response, target }) => {
      setIdentityHeaders(request, response, target);
      response.setHeader("X-Request-Id", "another");
      response.end("run of another request");
    },
  },
  hang: { mayHaveRun: true, play: () => undefined },
};

/** Plays a behaviour and returns the run for the checker. */
export function playBehaviour(
  behaviour: PlayedBehaviour,
  scripted: ScriptedRun,
): TargetRun {
  const lastEventId = getLastEventId(scripted.request);
  if (behaviour.kind === "response") {
    const response = playResponse(behaviour, scripted);
    return { lastEventId, mayHaveRun: true, response };
  }
  const { mayHaveRun, play } = withoutResponse[behaviour.kind];
  play(scripted);
  return { lastEventId, mayHaveRun, response: undefined };
}

function playResponse(
  behaviour: ResponseBehaviour,
  { request, response, target, run, closesAfterBody }: ScriptedRun,
): TargetResponse {
  const { status, isEventStream, pieceBytes, announcesLength } = behaviour;
  const { headers, body, breakKind } = createSentResponse(behaviour, {
    run,
    lastEventId: getLastEventId(request),
  });
  setIdentityHeaders(request, response, target);
  const endsWithConnection = closesAfterBody && !announcesLength;
  if (endsWithConnection) response.useChunkedEncodingByDefault = false;
  headers.forEach(({ name, value }) => response.setHeader(name, value));
  response.writeHead(status);
  response.flushHeaders();
  const stepBytes = Math.max(pieceBytes, Math.ceil(body.length / maxPieces));
  for (let start = 0; start < body.length; start += stepBytes) {
    response.write(body.subarray(start, start + stepBytes));
  }
  if (breakKind === undefined) response.end();
  else setTimeout(() => breaks[breakKind](response), breakDelayMs);
  const isStream = isEventStream && status === 200;
  // Nothing shows that a body without length or events has ended early.
  const endsUnnoticed = breakKind === "ended" && endsWithConnection &&
    (!isStream || endsAfterEvent(body));
  return {
    status,
    headers: headers.filter(({ name }) => name !== "content-length"),
    body,
    isEventStream: isStream,
    isWhole: breakKind === undefined || endsUnnoticed,
  };
}

/** Maximum number of pieces of one body, so that large ones take few writes. */
const maxPieces = 64;

function getLastEventId({ headers }: ReceivedRequest): string | undefined {
  const value = headers["last-event-id"];
  return typeof value === "string" ? value : undefined;
}
