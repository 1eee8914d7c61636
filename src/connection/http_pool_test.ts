import { startEndlessPeer } from "../../test/support/endless_peer.ts";
import { createStoreClient } from "../platform/store_client.ts";
import { createLog } from "../process/telemetry/log.ts";
import type { DirectTarget } from "../types/direct_target.ts";
import type { DirectCall } from "../types/direct_calls.ts";
import { createDirectClient, type DirectClient } from "./direct_client.ts";
import { createPlatformClient } from "./platform_client.ts";
import { createTargetClient } from "./target_client.ts";

/** Responses whose status is none. */
const responses: Readonly<Record<string, string>> = {
  "two digits": "HTTP/1.1 20 OK\r\ncontent-length: 2\r\n\r\nok",
  "two digits without headers": "HTTP/1.1 20 OK\r\n\r\n",
  "one digit": "HTTP/1.1 7 OK\r\ncontent-length: 0\r\n\r\n",
  "a leading zero": "HTTP/1.1 099 Spoiled\r\ncontent-length: 0\r\n\r\n",
  "zero": "HTTP/1.1 000 Spoiled\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
  "above the range": "HTTP/1.1 600 Spoiled\r\ncontent-length: 0\r\n\r\n",
  "the highest of three digits":
    "HTTP/1.1 999 Spoiled\r\ncontent-length: 2\r\n\r\nok",
  "two digits behind an interim response":
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 20 OK\r\n\r\n",
};

/** Calls a server and returns the texts of the errors that its caller gets. */
type Call = (port: number) => Promise<string>;

const calls: Readonly<Record<string, Call>> = {
  "a target, persistent": (port) => callTarget(port, false),
  "a target, fresh": (port) => callTarget(port, true),
  "a target's cached parts": (port) =>
    withDirectClient(async (client) => {
      await client.tryListCachedParts(createTarget(port));
    }),
  "a target of an agent": async (port) => {
    const client = createTargetClient(`http://127.0.0.1:${port}`);
    const result = await client.send({
      ...{ requestId: "id-1", method: "GET", path: "/", headers: [] },
      ...{ body: new Uint8Array(), signal: AbortSignal.timeout(1_000) },
    }).run();
    await client.close();
    return JSON.stringify(result.extract());
  },
  "the store, a read": async (port) => {
    const client = createStoreClient(`http://127.0.0.1:${port}`);
    const result = await client.list().run();
    await client.close();
    return JSON.stringify(result.extract());
  },
  "the store, a write": async (port) => {
    const client = createStoreClient(`http://127.0.0.1:${port}`);
    const router = { id: "a", address: "b", digestPort: 1, pullPort: 2 };
    const result = await client.announce(router).run();
    await client.close();
    return JSON.stringify(result.extract());
  },
  "the platform": async (port) => {
    const url = `http://127.0.0.1:${port}`;
    const urls = { keyValue: url, vmList: url };
    const client = createPlatformClient({ ...urls, callsPerSecond: 10 });
    const result = await client.get("key").run();
    await client.close();
    return JSON.stringify(result.extract());
  },
};

describe("a response whose status is none", () => {
  // It reached an assertion of the HTTP library, which held the event loop of a
  // bundled process for seconds.
  describe.each(Object.entries(calls))("of %s", (_name, call) => {
    it.each(Object.entries(responses))(
      "is rejected before the HTTP library asserts its status: %s",
      async (_form, start) => {
        const peer = await startEndlessPeer(() => ({ start, repeated: "" }));
        const errors = await call(peer.port);
        expect(errors).toMatch(/The response has the status \d+/);
        await peer.waitUntilClosed();
        await peer.close();
      },
    );
  });
});

function callTarget(
  port: number,
  needsFreshConnection: boolean,
): Promise<string> {
  return withDirectClient(async (client) => {
    const call: DirectCall = {
      ...{ requestId: "id-1", method: "GET", path: "/", headers: [] },
      ...{ target: createTarget(port), body: new Uint8Array() },
      ...{ deadlineMs: 1_000, needsFreshConnection, lastEventId: undefined },
      ...{ holder: undefined, prompt: undefined, fetchFrom: undefined },
      ...{ workspace: undefined, priorityClass: 1 },
      signal: AbortSignal.timeout(1_000),
    };
    const result = await client.send(call);
    expect(result.kind).toBe("spoiled");
    return result;
  });
}

/** Returns what the call returns and what it logs, as text. */
async function withDirectClient(
  run: (client: DirectClient) => Promise<unknown>,
): Promise<string> {
  const lines: string[] = [];
  const output = { writeLine: (line: string) => void lines.push(line) };
  const client = createDirectClient({
    codec: {
      encodeHeaders: () => [],
      decodeHead: () => ({ kind: "spoiled", reason: "not expected here" }),
      decodeNotice: () => ({
        ...{ isLeaving: false, pause: { kind: "none" } },
        ...{ limit: { kind: "none" }, warmUp: { kind: "untold" } },
      }),
      partsPath: "/parts",
      decodeParts: () => [],
    },
    log: createLog(output, { level: "info", fields: {} }),
    getMaxConnections: () => 1,
    tryGetHold: () => undefined,
    handleNotice: () => undefined,
    onLimitExceeded: () => undefined,
  });
  const result = await run(client);
  await client.close();
  return [JSON.stringify(result), ...lines].join("\n");
}

function createTarget(port: number): DirectTarget {
  return {
    ...{ id: "target-1", address: `127.0.0.1:${port}`, service: "desk" },
  } as DirectTarget;
}
