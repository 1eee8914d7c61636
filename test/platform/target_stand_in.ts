/** Stands in for a target on the platform, over HTTP on loopback. */

import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { cachedPartsPath } from "../../src/platform/wire_names.ts";

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
export type TargetMood = keyof typeof moodHeaders;

/** Moods in which a target refuses all requests. */
const refusingMoods: ReadonlySet<TargetMood> = new Set([
  "pausing",
  "pausingUntilDate",
]);

/** Headers of all responses of a target, by its mood. */
const moodHeaders = {
  serving: {},
  leaving: { "Server-Leaving": "1" },
  /** Refuses all requests, for longer than a test lasts. */
  pausing: { "X-Not-Run": "full", "Retry-After": "40.5" },
  /** Refuses all requests, until a time that no router understands. */
  pausingUntilDate: {
    "X-Not-Run": "full",
    "Retry-After": "Wed, 21 Oct 2026 07:28:00 GMT",
  },
} as const satisfies Record<string, Readonly<Record<string, string>>>;

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
    for (const [name, value] of Object.entries(moodHeaders[mood])) {
      response.setHeader(name, value);
    }
    if (refusingMoods.has(mood)) {
      response.writeHead(503).end();
      return;
    }
    if (message.url === cachedPartsPath) {
      response.end(JSON.stringify({ held: [["", "part-1", 800, "writer"]] }));
      return;
    }
    if (message.headers["x-expect-instance"] !== id) {
      response.writeHead(421, { "X-Instance": id });
      response.end();
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
