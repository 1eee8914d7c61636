import { credentials, ServerCredentials } from "@grpc/grpc-js";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import {
  createAgentHost,
  type FakeAgentHost,
  testIncarnation,
} from "../../test/fakes/agent_host.ts";
import {
  AgentServiceClient,
  type RunEvent,
  RunRequest,
  type SettleRequest,
  type SettleResponse,
} from "../generated/mimosatray/v1/agent.ts";
import { loadBodyDigests } from "../process/attempts/body_digest.ts";
import type { Role } from "../types/role.ts";
import { createAgentRole } from "./agent.ts";

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

describe("agent role", () => {
  let target: Server;
  let handle: Handler;
  let host: FakeAgentHost;
  let role: Role;
  let client: AgentServiceClient;
  let runs = 0;

  beforeEach(async () => {
    runs = 0;
    target = createServer((request, response) => {
      if (request.url === "/health" || request.url === "/load") {
        response.end("{}");
        return;
      }
      runs++;
      request.resume().on("end", () => handle(request, response));
    });
    await new Promise<void>((resolve) =>
      target.listen(0, "127.0.0.1", resolve)
    );
    const { port } = target.address() as AddressInfo;
    host = createAgentHost(`http://127.0.0.1:${port}`);
    role = await createAgentRole(host);
    const grpcPort = await new Promise<number>((resolve, reject) => {
      host.server.bindAsync(
        "127.0.0.1:0",
        ServerCredentials.createInsecure(),
        (error, bound) => (error ? reject(error) : resolve(bound)),
      );
    });
    client = new AgentServiceClient(
      `127.0.0.1:${grpcPort}`,
      credentials.createInsecure(),
    );
  });

  afterEach(async () => {
    client.close();
    await role.stop();
    host.server.forceShutdown();
    target.closeAllConnections();
    await new Promise((resolve) => target.close(resolve));
  });

  describe("run", () => {
    it("forwards a complete event stream", async () => {
      handle = (_request, response) => {
        response.setHeader("content-type", "text/event-stream");
        response.write('data: {"a":1}\n\n');
        response.end("data: [DONE]\n\n");
      };
      const events = await collect(client.run(createRun(1)));
      const body = joinBody(events);
      expect(body.toString()).toBe('data: {"a":1}\n\ndata: [DONE]\n\n');
      expect(getEventKinds(events)).toEqual(["head", "chunk", "end"]);
      const digest = (await loadBodyDigests()).create();
      digest.update(body);
      expect(events.at(-1)?.event?.value).toMatchObject({
        length: body.length,
        digest: digest.getHex(),
      });
    });

    it("reports a stream without its end marker as cut off", async () => {
      handle = (_request, response) => {
        response.setHeader("content-type", "text/event-stream");
        response.end('data: {"a":1}\n\n');
      };
      const events = await collect(client.run(createRun(1)));
      expect(events.at(-1)?.event).toEqual({
        $case: "failure",
        value: { code: "answer_cut", mayHaveRun: true },
      });
    });

    it("runs a duplicated attempt once and replays its response", async () => {
      handle = (_request, response) => void response.end("once");
      const run = createRun(1, { repeatable: false, isChat: false });
      const both = await Promise.all([
        collect(client.run(run)),
        collect(client.run(run)),
      ]);
      expect(both.map((events) => joinBody(events).toString()))
        .toEqual(["once", "once"]);
      expect(runs).toBe(1);
    });

    it("refuses an attempt for another incarnation", async () => {
      const run = createRun(1, { targetIncarnation: testIncarnation - 1 });
      const events = await collect(client.run(run));
      expect(events[0]?.event?.value).toMatchObject({
        code: "wrong_incarnation",
      });
      expect(runs).toBe(0);
    });

    it("never runs an attempt that was settled first", async () => {
      const { attempt } = createRun(1);
      const state = await settle({ attempt, targetIncarnation: 1_000 });
      expect(state).toBe("not_run");
      const events = await collect(client.run(createRun(1)));
      expect(events[0]?.event?.value).toMatchObject({
        code: "attempt_settled",
      });
      expect(runs).toBe(0);
    });

    it("reports a possible run when the target disconnects", async () => {
      handle = (request) => void request.socket.destroy();
      const events = await collect(client.run(createRun(1)));
      expect(events.at(-1)?.event?.value).toEqual({
        code: "target_error",
        mayHaveRun: true,
      });
    });
  });

  describe("attach", () => {
    it("sends the rest of a retained response from an offset", async () => {
      handle = (_request, response) => void response.end("0123456789");
      const run = createRun(1, { repeatable: false });
      await collect(client.run(run));
      const events = await collect(client.attach({
        attempt: run.attempt,
        targetIncarnation: testIncarnation,
        offset: 4,
      }));
      expect(joinBody(events).toString()).toBe("456789");
      expect(runs).toBe(1);
    });
  });

  describe("cancel", () => {
    it("aborts a chat at the target", async () => {
      const closed = new Promise<void>((resolve) => {
        handle = (_request, response) => {
          response.on("close", resolve);
          response.write("begun");
        };
      });
      const run = createRun(1);
      const call = client.run(run);
      const events = collect(call);
      await new Promise((resolve) => call.once("data", resolve));
      client.cancel({
        attempt: run.attempt,
        targetIncarnation: testIncarnation,
      }, () => undefined);
      await closed;
      expect((await events).at(-1)?.event?.value).toMatchObject({
        code: "caller_gone",
      });
    });
  });

  describe("stop", () => {
    it("refuses queued work and lets running work finish", async () => {
      const responses: ServerResponse[] = [];
      handle = (_request, response) => void responses.push(response);
      const running = Array.from(
        { length: 4 },
        (_unused, index) => collect(client.run(createRun(index + 1))),
      );
      const waiting = collect(client.run(createRun(9)));
      await waitUntil(() => responses.length === 4);
      const stopped = role.stop();
      expect((await waiting)[0]?.event?.value).toMatchObject({
        code: "target_leaving",
      });
      const late = await collect(client.run(createRun(10)));
      expect(late[0]?.event?.value).toMatchObject({ code: "target_leaving" });
      responses.forEach((response) => response.end("whole"));
      for (const events of await Promise.all(running)) {
        expect(joinBody(events).toString()).toBe("whole");
      }
      expect((await stopped).cutOff).toBe(0);
      expect(host.isLeaving()).toBe(true);
    });
  });

  function settle(request: SettleRequest): Promise<string> {
    return new Promise((resolve, reject) => {
      client.settle(
        request,
        (error, response: SettleResponse) =>
          error ? reject(error) : resolve(response.state),
      );
    });
  }
});

function createRun(
  number: number,
  fields: Partial<RunRequest> = {},
): RunRequest {
  return {
    ...RunRequest.decode(new Uint8Array()),
    attempt: { router: "router-a1", routerIncarnation: 5, number },
    targetIncarnation: testIncarnation,
    requestId: `r${number}`,
    service: "chat",
    workspace: "w1",
    priority: "interactive",
    deadlineMs: 10_000,
    repeatable: true,
    fingerprint: `f${number}`,
    promptTokens: 10,
    outputTokens: 10,
    method: "POST",
    path: "/v1/chat/completions",
    body: Buffer.from("{}"),
    isChat: true,
    ...fields,
  };
}

function collect(call: AsyncIterable<RunEvent>): Promise<RunEvent[]> {
  return (async () => {
    const events: RunEvent[] = [];
    for await (const event of call) events.push(event);
    return events;
  })();
}

function joinBody(events: readonly RunEvent[]): Buffer {
  return Buffer.concat(
    events.flatMap(({ event }) =>
      event?.$case === "chunk" ? [event.value.data] : []
    ),
  );
}

function getEventKinds(events: readonly RunEvent[]): (string | undefined)[] {
  const all = events.map(({ event }) => event?.$case);
  return all.filter((kind, index) => kind !== all[index - 1]);
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}
