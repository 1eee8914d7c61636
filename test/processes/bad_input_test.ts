import { createSocket } from "node:dgram";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { sendChat } from "../harness/chat.ts";
import { startChild } from "../harness/child.ts";
import {
  binaryCommand,
  type RunningProcess,
  startFleet,
  type TestFleet,
} from "../harness/fleet.ts";
import { callHttp, readPath } from "../harness/http.ts";
import { formatSettings } from "../harness/plan.ts";

const question = { role: "user", content: "A note about spring" } as const;
const body = { model: "chat-model", messages: [question] };
const headers = { "x-workspace": "team-1" };
const garbage = Buffer.from(
  Array.from({ length: 4096 }, (_, index) => index * 131 % 256),
);

describe("bad input to running processes", () => {
  let fleet: TestFleet;
  let router: RunningProcess;
  let agent: RunningProcess;

  beforeAll(async () => {
    fleet = await startFleet({ routers: 1, engines: 1, services: 0 });
    [router] = fleet.routers as [RunningProcess];
    [agent] = fleet.engineAgents as [RunningProcess];
  });
  afterAll(() => fleet?.stop());
  afterEach(async () => {
    const response = await sendChat(router.callerUrl, {
      messages: [question],
      conversation: "still-alive",
    });
    expect(response.outcome).toBe("done");
    expect(fleet.getProcesses().every(({ child }) => child.isRunning()))
      .toBe(true);
  });

  describe("from callers", () => {
    it.each([
      ["truncated JSON", { body: '{"model":', headers }, 400, "bad_json"],
      [
        "a body that is not JSON",
        { body: "\u0000\u0001", headers },
        400,
        "bad_json",
      ],
      ["a JSON array", { body: "[]", headers }, 400, "bad_field"],
      [
        "a field of the wrong type",
        { body: { ...body, messages: "hello" }, headers },
        400,
        "bad_field",
      ],
      [
        "a message that is not an object",
        { body: { ...body, messages: [7] }, headers },
        400,
        "bad_field",
      ],
      ["a missing workspace header", { body }, 400, "bad_field"],
      [
        "an unknown workspace",
        { body, headers: { "x-workspace": "nobody" } },
        404,
        "unknown_workspace",
      ],
      [
        "an unknown service",
        { body: { ...body, model: "nothing" }, headers },
        404,
        "unknown_service",
      ],
      [
        "an unknown priority",
        { body, headers: { ...headers, "x-priority": "now" } },
        400,
        "bad_field",
      ],
      [
        "a negative deadline",
        { body, headers: { ...headers, "x-deadline-ms": "-1" } },
        400,
        "bad_field",
      ],
      [
        "a body above the limit",
        { body: "x".repeat(1_048_577), headers },
        413,
        "body_too_large",
      ],
    ])("%s is refused", async (_name, call, status, code) => {
      const response = await callHttp(
        `${router.callerUrl}/v1/chat/completions`,
        call as { body: object; headers: Record<string, string> },
      );
      expect(response.status).toBe(status);
      expect(readPath(response.json, "error.code")).toBe(code);
      expect(response.headers["x-outcome"]).toBe("not_run");
    });

    it("an unknown path is refused", async () => {
      const response = await callHttp(`${router.callerUrl}/nowhere`);
      expect(response.status).toBe(404);
      expect(readPath(response.json, "error.code")).toBe("not_found");
    });

    it("headers above the limit are refused", async () => {
      const response = await sendAndReceive(router.callerPort, [
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n",
        `x-large: ${"x".repeat(40_000)}\r\n\r\n`,
      ]);
      expect(response).toContain("headers_too_large");
    });

    it("a request that is not HTTP is refused", async () => {
      const response = await sendAndReceive(router.callerPort, [garbage]);
      expect(response).toContain("bad_http");
    });

    it("a body that ends early starts no run", async () => {
      const runsBefore = await countRuns();
      const response = await sendAndReceive(router.callerPort, [
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n",
        'x-workspace: team-1\r\ncontent-length: 500\r\n\r\n{"model":',
      ], { end: true });
      expect(response === "" || response.includes("body_cut")).toBe(true);
      expect(await countRuns()).toBe(runsBefore);
    });

    it("HTTP/1.0 gets a whole stream, though it has no trailers", async () => {
      const text = JSON.stringify({ ...body, stream: true });
      const response = await sendAndReceive(router.callerPort, [
        "POST /v1/chat/completions HTTP/1.0\r\nx-workspace: team-1\r\n",
        `content-length: ${Buffer.byteLength(text)}\r\n\r\n${text}`,
      ]);
      expect(response).toMatch(/^HTTP\/1\.1 200 /);
      expect(response).toMatch(/^x-outcome: done\r$/m);
      expect(response).toContain("data: [DONE]");
      const [head = "", stream = ""] = response.split("\r\n\r\n");
      const length = /^content-length: (\d+)\r$/m.exec(`${head}\r\n`)?.[1];
      expect(Buffer.byteLength(stream)).toBe(Number(length));
    });

    it("a slow body does not delay other callers", async () => {
      const slowSocket = connect(router.callerPort, "127.0.0.1");
      slowSocket.on("error", () => undefined);
      slowSocket.write(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n" +
          "x-workspace: team-1\r\ncontent-length: 500\r\n\r\n{",
      );
      const response = await sendChat(router.callerUrl, {
        messages: [question],
        conversation: "beside-a-slow-one",
      });
      expect(response.outcome).toBe("done");
      slowSocket.destroy();
    });
  });

  describe("from peers", () => {
    it.each(["router", "agent"])(
      "garbage on the gRPC port of the %s is dropped",
      async (role) => {
        const { grpcPort } = role === "router" ? router : agent;
        await sendAndReceive(grpcPort, [garbage], { end: true });
        await sendAndReceive(grpcPort, [
          "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
          garbage,
        ], { end: true });
      },
    );

    it.each(["router", "agent"])(
      "garbage on the gossip port of the %s is dropped",
      async (role) => {
        const { gossipPort } = role === "router" ? router : agent;
        const socket = createSocket("udp4");
        for (let size = 0; size < 1400; size += 50) {
          await new Promise<void>((resolve) => {
            const datagram = garbage.subarray(0, size);
            socket.send(datagram, gossipPort, "127.0.0.1", () => resolve());
          });
        }
        socket.close();
      },
    );
  });

  describe("from operators", () => {
    it.each(["{", "[]", "7", "null", '{"operations": 3}'])(
      "the patch %s is refused",
      async (text) => {
        const response = await callHttp(`${router.adminUrl}/config/patches`, {
          body: text,
        });
        expect(response.status).toBeGreaterThanOrEqual(400);
        expect(response.status).toBeLessThan(500);
      },
    );

    it("garbage on the admin port is dropped", async () => {
      await sendAndReceive(router.adminPort, [garbage], { end: true });
    });
  });

  describe("settings", () => {
    const directory = mkdtempSync(join(tmpdir(), "settings-"));
    afterAll(() => rmSync(directory, { recursive: true, force: true }));

    it.each([
      ["binary data", garbage.toString("latin1"), /:1:\d+: /],
      ["an array", "[]", /:1:1: .*must be/],
      ["no text", "", /:1:1: /],
    ])(
      "a file that holds %s causes exit code 2",
      async (_name, text, pattern) => {
        const { code, output } = await runCommand("router", text);
        expect(code).toBe(2);
        expect(output).toMatch(pattern);
      },
    );

    it("all errors of a file are reported at once", async () => {
      const validSettings = formatSettings(router);
      const invalidSettings = validSettings
        .replace(/"grpcPort": \d+/, '"grpcPort": "many"')
        .replace('"zone"', '"zoen"');
      const { code, output } = await runCommand("check", invalidSettings);
      expect(code).toBe(2);
      expect(output).toMatch(/:\d+:\d+: grpcPort must be/);
      expect(output).toMatch(/:\d+:\d+: zoen is not a setting/);
      expect(output).toMatch(/zone/);
    });

    it("a missing file causes exit code 2", async () => {
      const child = startChild("router", [
        ...binaryCommand,
        "router",
        "/no/such",
      ]);
      expect((await child.waitForExit()).code).toBe(2);
      expect(child.getLines().join("\n")).toContain("cannot be read");
    });

    async function runCommand(command: string, text: string) {
      const file = join(directory, "settings.jsonc");
      writeFileSync(file, text);
      const child = startChild(command, [...binaryCommand, command, file]);
      const { code } = await child.waitForExit();
      return { code, output: child.getLines().join("\n") };
    }
  });

  async function countRuns(): Promise<number> {
    const { json } = await callHttp(`${fleet.engines[0]?.url}/counts`);
    return Number(json?.["started"]);
  }
});

/** Sends chunks over a connection and returns the bytes received. */
function sendAndReceive(
  port: number,
  chunks: readonly (string | Buffer)[],
  options: { readonly end?: boolean } = {},
): Promise<string> {
  return new Promise((resolve) => {
    const socket: Socket = connect(port, "127.0.0.1");
    let received = "";
    socket.on("data", (data) => {
      received += String(data);
    });
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(received));
    socket.on("end", () => socket.end());
    chunks.forEach((chunk) => socket.write(chunk));
    if (options.end === true) socket.end();
    // Closes the connection if the peer neither responds nor closes it.
    socket.setTimeout(2000, () => socket.destroy());
  });
}
