/** Tests an agent whose target's connections break, over sockets. */

import { credentials, ServerCredentials } from "@grpc/grpc-js";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import {
  AgentServiceClient,
  type RunEvent,
  RunRequest,
} from "../../src/generated/mimosatray/v1/agent.ts";
import { createAgentRole } from "../../src/roles/agent.ts";
import type { Role } from "../../src/types/role.ts";
import {
  createAgentHost,
  type FakeAgentHost,
  testIncarnation,
} from "../fakes/agent_host.ts";

type Handler = (response: ServerResponse) => void;

/** Time for sent bytes to arrive before a connection breaks, in ms. */
const breakDelayMs = 20;

const events = [
  "data: a\n\n",
  "data: b\n\n",
  "data: c\n\n",
  "data: [DONE]\n\n",
];

/** Responses to a call that break off, by the framing of their body. */
const breaks: Readonly<Record<string, Handler>> = {
  "without a length": (response) => {
    response.useChunkedEncodingByDefault = false;
    sendAndReset(response, "half");
  },
  "with a length": (response) => {
    response.setHeader("content-length", "100");
    sendAndReset(response, "half");
  },
  "in chunks": (response) => sendAndReset(response, "half"),
};

/** Times from the end of a response to the reset behind it, in milliseconds. */
const resetDelaysMs = [0, 30];

/** Size of a request that is not read to its end, in bytes. */
const uploadBytes = 600_000;

/** Responses to the resumption of a stream that don't continue it. */
const resumptions: Readonly<Record<string, Handler>> = {
  "an error": (response) => sendJson(response, { status: 500 }),
  "a JSON error with status 200": (response) =>
    sendJson(response, { status: 200 }),
  "a JSON error with status 200 and an empty line": (response) =>
    sendJson(response, { status: 200, end: "\n\n" }),
  "no content": (response) => {
    response.writeHead(204);
    response.end();
  },
  "an empty stream": (response) => {
    response.setHeader("content-type", "text/event-stream");
    response.end();
  },
};

describe("agent with a target whose connection breaks", () => {
  let server: Server;
  let host: FakeAgentHost;
  let role: Role;
  let client: AgentServiceClient;
  let respond: Handler;
  let resume: Handler;

  beforeEach(async () => {
    server = createServer((request, response) => {
      if (request.headers["content-length"] !== String(uploadBytes)) {
        request.resume();
      }
      getHandler(request)(response);
    });
    const port = await new Promise<number>((resolve) => {
      server.listen(0, "127.0.0.1", () => {
        resolve((server.address() as AddressInfo).port);
      });
    });
    host = createAgentHost(`http://127.0.0.1:${port}`);
    role = await createAgentRole(host);
    const agentPort = await new Promise<number>((resolve, reject) => {
      host.server.bindAsync(
        "127.0.0.1:0",
        ServerCredentials.createInsecure(),
        (error, bound) => (error ? reject(error) : resolve(bound)),
      );
    });
    client = new AgentServiceClient(
      `127.0.0.1:${agentPort}`,
      credentials.createInsecure(),
    );
  });

  afterEach(async () => {
    client.close();
    await role.stop();
    host.server.forceShutdown();
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  });

  function getHandler({ url = "" }: IncomingMessage): Handler {
    if (url === "/work") return respond;
    if (url.startsWith("/v1/streams/")) return resume;
    return (response) => response.end("{}");
  }

  async function run(
    isChat: boolean,
    body = "{}",
  ): Promise<readonly RunEvent[]> {
    const received: RunEvent[] = [];
    const call: AsyncIterable<RunEvent> = client.run({
      ...createRun(isChat),
      body: Buffer.from(body),
    });
    for await (const event of call) {
      received.push(event);
    }
    return received;
  }

  describe("a body that is reset is not forwarded as complete", () => {
    it.each(Object.entries(breaks))("%s", async (_name, handler) => {
      respond = handler;
      const received = await run(false);
      expect(received.at(-1)?.event?.$case).toBe("failure");
    });
  });

  describe("an upload that its target ends is not forwarded as complete", () => {
    it.each(resetDelaysMs)("with a reset %d ms later", async (delayMs) => {
      respond = ({ socket }) => {
        socket?.end("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf", () => {
          setTimeout(() => socket.resetAndDestroy(), delayMs);
        });
      };
      const received = await run(false, "x".repeat(uploadBytes));
      expect(received.at(-1)?.event?.$case).toBe("failure");
    });
  });

  describe("a stream is not resumed with", () => {
    it.each(Object.entries(resumptions))("%s", async (_name, handler) => {
      respond = (response) => {
        response.setHeader("content-type", "text/event-stream");
        response.setHeader("x-stream-id", "s1");
        sendAndReset(response, events.slice(0, 2).join(""));
      };
      resume = handler;
      const received = await run(true);
      expect(received.at(-1)?.event?.$case).toBe("failure");
      expect(getBody(received)).toBe(events.slice(0, 2).join(""));
    });
  });
});

function sendAndReset(response: ServerResponse, text: string): void {
  response.write(text);
  setTimeout(() => response.socket?.resetAndDestroy(), breakDelayMs);
}

function sendJson(
  response: ServerResponse,
  { status, end = "" }: { readonly status: number; readonly end?: string },
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(`{"error": "no such stream"}${end}`);
}

function createRun(isChat: boolean): RunRequest {
  return {
    ...RunRequest.decode(new Uint8Array()),
    attempt: { router: "router-a1", routerIncarnation: 5, number: 1 },
    targetIncarnation: testIncarnation,
    requestId: "r1",
    service: "chat",
    workspace: "w1",
    priority: "interactive",
    deadlineMs: 60_000,
    repeatable: isChat,
    fingerprint: "f1",
    promptTokens: 5,
    outputTokens: 8,
    method: "POST",
    path: "/work",
    headers: [{ name: "content-type", value: "application/json" }],
    isChat,
  };
}

function getBody(received: readonly RunEvent[]): string {
  return Buffer.concat(
    received.flatMap(({ event }) =>
      event?.$case === "chunk" ? [event.value.data] : []
    ),
  ).toString();
}
