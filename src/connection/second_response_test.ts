import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { createTarget } from "../../test/support/direct.ts";
import { targetCodec } from "../platform/target_codec.ts";
import { createSilentLog } from "../process/telemetry/log.ts";
import { createDirectClient } from "./direct_client.ts";
import { createTargetClient } from "./target_client.ts";

/** Sends one request and describes its end; bodies name the run. */
type Send = (id: string) => Promise<string>;

/** Clients of targets, which send a request and the same one or another. */
const clients: Readonly<
  Record<string, (port: number) => { send: Send; close(): Promise<void> }>
> = { "a router without agents": openDirect, "an agent": openAgentClient };

/** Copies of the first response, which ran as number 1. */
const copies: Readonly<Record<string, (id: string) => string>> = {
  "of the response": (id) => format(id, 1),
  "in chunks": (id) =>
    formatHead("200 OK", id, "transfer-encoding: chunked") +
    "5\r\nrun 1\r\n0\r\n\r\n",
  "after an interim response": (id) =>
    `HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n${format(id, 1)}`,
  "without an id": () =>
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-server-stamp: s\r\n\r\nrun 1",
  "of a refusal": (id) =>
    formatHead("503 Full", id, "x-not-run: full\r\ncontent-length: 0"),
};

/** When the copy is sent: `gap` before the second request, in milliseconds. */
const times = {
  "in the segment of the first one": { gap: 0, isLate: false },
  "on the idle connection": { gap: 20, isLate: false },
  "just before the second request": { gap: 0, isLate: true },
  "behind the second request": { gap: undefined, isLate: false },
} as const;

const ids = { "the same id": "request-1", "another id": "request-2" } as const;

// The next caller got a response, or a refusal, that was not its own.
describe.each(Object.entries(clients))("a second copy to %s", (_name, open) => {
  describe.each(Object.entries(copies))("%s", (_copy, createCopy) => {
    describe.each(Object.entries(times))("%s", (_time, { gap, isLate }) => {
      it.each(Object.entries(ids))("to a request with %s", async (_id, id) => {
        const end = await sendTwo(open, { id, createCopy, gap, isLate });
        expect(["run 2", "lost"]).toContain(end);
      });
    });
  });
});

/** Refusals, by what they say of the request. */
const refusals: Readonly<Record<string, (id: string) => string>> = {
  "that it has not run": (id) =>
    formatHead("503 Full", id, "x-not-run: full\r\ncontent-length: 0"),
  "that it should come back": (id) =>
    formatHead(
      "429 Busy",
      id,
      "x-not-run: busy\r\nretry-after: 0.1\r\ncontent-length: 0",
    ),
  "that another target was meant": (id) =>
    formatHead("421 Other", id, "x-not-run: other\r\ncontent-length: 0"),
};

// The next caller was told that its request, which ran, had not run.
describe.each(Object.entries(clients))("a refusal to %s", (_name, open) => {
  describe.each(Object.entries(refusals))("%s", (_refusal, createRefusal) => {
    describe.each(Object.entries(times))(
      "that is written again %s",
      (_time, { gap, isLate }) => {
        it.each(Object.entries(ids))(
          "is not that of a request with %s",
          async (_id, id) => {
            const end = await sendTwo(open, {
              ...{ id, createCopy: createRefusal, gap, isLate },
              createFirst: createRefusal,
            });
            expect(["run 2", "lost"]).toContain(end);
          },
        );
      },
    );
  });
});

/** Sends two requests to a target that repeats its first response. */
async function sendTwo(
  open: typeof clients[string],
  { id, createFirst, createCopy, gap, isLate }: {
    readonly id: string;
    /** Creates the first response; that of a run by default. */
    createFirst?(id: string): string;
    createCopy(id: string): string;
    readonly gap: number | undefined;
    readonly isLate: boolean;
  },
): Promise<string> {
  let runs = 0;
  let first: Socket | undefined;
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("data", (data) => {
      const requestId = /request-\d/.exec(String(data))?.[0] ?? "";
      const run = ++runs;
      const copy = createCopy("request-1");
      if (run > 1) {
        if (gap === undefined && first !== undefined) write(first, copy);
        setTimeout(() => write(socket, format(requestId, run)), 15);
        return;
      }
      first = socket;
      const isAtOnce = gap === 0 && !isLate;
      const response = createFirst?.(requestId) ?? format(requestId, run);
      write(socket, response + (isAtOnce ? copy : ""));
      if (gap !== undefined && gap > 0) {
        setTimeout(write, gap / 2, socket, copy);
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const client = open((server.address() as AddressInfo).port);
  try {
    const firstEnd = await client.send("request-1");
    if (createFirst === undefined) expect(firstEnd).toBe("run 1");
    else expect(firstEnd).not.toMatch(/^(run|lost)/);
    if (gap !== undefined && gap > 0) await sleep(gap);
    if (isLate && first !== undefined) {
      write(first, createCopy("request-1"));
      // The copy is in the system's buffer when the request is written.
      const busyUntil = performance.now() + 5;
      while (performance.now() < busyUntil);
    }
    return await client.send(id);
  } finally {
    await client.close();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  }
}

function write(socket: Socket, text: string): void {
  if (socket.writable) socket.write(text);
}

function formatHead(status: string, id: string, headers: string): string {
  return `HTTP/1.1 ${status}\r\nx-request-id: ${id}\r\n` +
    `x-server-stamp: s\r\n${headers}\r\n\r\n`;
}

function format(id: string, run: number): string {
  return `${formatHead("200 OK", id, "content-length: 5")}run ${run}`;
}

function openDirect(port: number): ReturnType<typeof clients[string]> {
  const client = createDirectClient({
    codec: targetCodec,
    log: createSilentLog(),
    getMaxConnections: () => 1,
    tryGetHold: () => undefined,
    handleNotice: () => undefined,
    onLimitExceeded: () => undefined,
  });
  return { send, close: client.close };

  async function send(requestId: string): Promise<string> {
    const result = await client.send({
      target: createTarget("a", { address: `127.0.0.1:${port}` }),
      ...{ requestId, method: "GET", path: "/", headers: [] },
      ...{ body: new Uint8Array(), workspace: undefined, deadlineMs: 5_000 },
      ...{ priorityClass: 1, fetchFrom: undefined, lastEventId: undefined },
      needsFreshConnection: false,
      signal: new AbortController().signal,
    });
    if (result.kind === "answer") return await readBody(result.body);
    return result.kind === "spoiled" ? "lost" : result.kind;
  }
}

function openAgentClient(port: number): ReturnType<typeof clients[string]> {
  const client = createTargetClient(`http://127.0.0.1:${port}`);
  return { send, close: client.close };

  async function send(requestId: string): Promise<string> {
    const result = await client.send({
      ...{ requestId, method: "GET", path: "/", headers: [] },
      ...{ body: new Uint8Array() },
      signal: new AbortController().signal,
    }).run();
    return await result.caseOf<Promise<string>>({
      Left: ({ kind }) => Promise.resolve(kind),
      Right: ({ status, body }) =>
        status === 200 ? readBody(body) : Promise.resolve(String(status)),
    });
  }
}

async function readBody(body: AsyncIterable<Uint8Array>): Promise<string> {
  const parts: Uint8Array[] = [];
  try {
    for await (const part of body) parts.push(part);
  } catch {
    return "lost";
  }
  return Buffer.concat(parts).toString();
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
