/** Tests an agent with the stand-in engine, over sockets. */

import { credentials, ServerCredentials } from "@grpc/grpc-js";
import {
  AgentServiceClient,
  type OrderRequest,
  type OrderResponse,
  type RunEvent,
  RunRequest,
} from "../../src/generated/mimosatray/v1/agent.ts";
import { createTargetClient } from "../../src/connection/target_client.ts";
import { readTargetStream } from "../../src/request/target_stream.ts";
import { createAgentRole } from "../../src/roles/agent.ts";
import type { Role } from "../../src/types/role.ts";
import {
  createAgentHost,
  type FakeAgentHost,
  testIncarnation,
} from "../fakes/agent_host.ts";
import { createMemoryPlatform } from "../fakes/memory_platform.ts";
import { defaultEngineSettings } from "../stand_ins/engine/engine.ts";
import { type EngineServer, startEngine } from "../stand_ins/engine/server.ts";

/** Time between tokens, in milliseconds. */
const tokenMs = 2;

describe("agent with an engine", () => {
  let engine: EngineServer;
  let host: FakeAgentHost;
  let role: Role;
  let client: AgentServiceClient;

  beforeEach(async () => {
    const settings = { ...defaultEngineSettings, id: "engine-1", tokenMs };
    engine = await startEngine(settings, { port: 0 });
    host = createAgentHost(`http://127.0.0.1:${engine.port}`);
    ({ role, client } = await startAgent(host));
  });

  afterEach(async () => {
    client.close();
    await role.stop();
    host.server.forceShutdown();
    await engine.close().catch(() => undefined);
  });

  describe("a stream that the network interrupts", () => {
    it("resumes at its offset and equals one generation", async () => {
      engine.settings.cutAfterTokens = 5;
      const events = await collect(client.run(createChat(1, { tokens: 20 })));
      expect(getLastEvent(events)).toMatchObject({
        length: getBody(events).length,
      });
      const text = parseText(getBody(events));
      expect(text).toBe(
        engine.engine.tryGetGeneration("engine-1-1")?.getText(),
      );
      expect(engine.engine.getCounts().started).toBe(1);
    });
  });

  describe("a stream that breaks behind its last token", () => {
    it("never repeats the event that finishes it", async () => {
      const client = createTargetClient(`http://127.0.0.1:${engine.port}`);
      const { signal } = new AbortController();
      const chat = createChat(1, { tokens: 4 });
      const sent = await client.send({ ...chat, signal }).run();
      const response = sent.unsafeCoerce();
      const stream = readTargetStream(
        { target: client, checkCrash: () => Promise.resolve(false) },
        { ...response, body: cutAtMarker(response.body) },
        signal,
      );
      let text = "";
      await expect((async () => {
        for await (const data of stream) text += Buffer.from(data).toString();
      })()).rejects.toThrow("socket closed");
      expect(text.match(/"finish_reason":"stop"/g)).toHaveLength(1);
      await client.close();
    });
  });

  describe("a stream that ends early without an error", () => {
    it("is not forwarded as complete", async () => {
      engine.settings.endAfterTokens = 5;
      const events = await collect(client.run(createChat(1, { tokens: 20 })));
      expect(getLastEvent(events)).toMatchObject({ code: "answer_cut" });
    });
  });

  describe("a cancelled chat", () => {
    it("stops the generation and releases its load", async () => {
      const call = client.run(createChat(1, { tokens: 10_000 }));
      const events = collect(call);
      await new Promise((resolve) => call.once("data", resolve));
      client.cancel({
        attempt: createChat(1).attempt,
        targetIncarnation: testIncarnation,
      }, () => undefined);
      await events;
      await waitUntil(() => engine.engine.getCounts().running === 0);
      expect(engine.engine.getCounts().cancelled).toBe(1);
      expect(role.dump()).toMatchObject({ load: 0 });
    });
  });

  describe("a request that crashes the engine", () => {
    it("is recorded together with all requests in flight", async () => {
      const concurrentChat = collect(
        client.run(createChat(1, { tokens: 600 })),
      );
      await waitUntil(() => engine.engine.getCounts().running === 1);
      const text = defaultEngineSettings.crashMarker;
      const crashingChat = collect(client.run(createChat(2, { text })));
      for (const events of await Promise.all([concurrentChat, crashingChat])) {
        expect(getLastEvent(events)).toEqual({
          code: "target_crashed",
          mayHaveRun: true,
        });
      }
      expect(host.crashes.getCrashes("f1")).toBe(1);
      expect(host.crashes.getCrashes("f2")).toBe(1);
      const laterEvents = await collect(client.run(createChat(3)));
      expect(getLastEvent(laterEvents)).toMatchObject({ code: "no_target" });
      expect(role.isReady()).toBe(false);
    });
  });

  describe("a request that the end of a stop cuts off", () => {
    it("is not recorded as in flight at a crash", async () => {
      client.close();
      await role.stop();
      host.server.forceShutdown();
      host = createAgentHost(`http://127.0.0.1:${engine.port}`, {
        shutdownMs: 50,
      });
      ({ role, client } = await startAgent(host));
      const events = collect(client.run(createChat(1, { tokens: 5_000 })));
      await waitUntil(() => engine.engine.getCounts().started === 1);
      expect((await role.stop()).cutOff).toBe(1);
      expect(getLastEvent(await events)).toMatchObject({
        code: "target_error",
      });
      expect(host.crashes.getCrashes("f1")).toBe(0);
    });
  });

  describe("orders", () => {
    it("reach the engine only with the highest fencing number", async () => {
      expect(await sendOrder(client, 2)).toEqual({ accepted: true, code: "" });
      expect(await sendOrder(client, 1))
        .toEqual({ accepted: false, code: "order_fenced" });
      const url = `http://127.0.0.1:${engine.port}/adapters`;
      const { history } = await (await fetch(url)).json() as {
        readonly history: readonly unknown[];
      };
      expect(history).toEqual([{
        action: "load_adapter",
        adapter: "a1",
        fencingNumber: 2,
      }]);
    });

    it("stay fenced after a restart of the agent", async () => {
      await sendOrder(client, 2);
      const restartedHost = createAgentHost(`http://127.0.0.1:${engine.port}`, {
        platform: host.platform,
      });
      const restarted = await startAgent(restartedHost);
      expect(await sendOrder(restarted.client, 1))
        .toEqual({ accepted: false, code: "order_fenced" });
      restarted.client.close();
      await restarted.role.stop();
      restartedHost.server.forceShutdown();
    });

    it("are refused while the platform is down", async () => {
      host.platform.serviceFaults.outage = true;
      expect(await sendOrder(client, 2))
        .toEqual({ accepted: false, code: "platform_unavailable" });
    });

    it("are refused by the engine when the stored number is lost", async () => {
      const emptyHost = createAgentHost(`http://127.0.0.1:${engine.port}`, {
        platform: createMemoryPlatform(),
      });
      await sendOrder(client, 2);
      const other = await startAgent(emptyHost);
      // The engine checks fencing numbers itself.
      expect(await sendOrder(other.client, 1))
        .toEqual({ accepted: false, code: "order_fenced" });
      other.client.close();
      await other.role.stop();
      emptyHost.server.forceShutdown();
    });
  });
});

/** Yields the bytes before the end marker and breaks off. */
async function* cutAtMarker(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<Uint8Array, void> {
  let text = "";
  for await (const data of body) text += Buffer.from(data).toString();
  yield Buffer.from(text.slice(0, text.indexOf("data: [DONE]")));
  throw new Error("socket closed");
}

async function startAgent(
  host: FakeAgentHost,
): Promise<{ readonly role: Role; readonly client: AgentServiceClient }> {
  const role = await createAgentRole(host);
  const port = await new Promise<number>((resolve, reject) => {
    host.server.bindAsync(
      "127.0.0.1:0",
      ServerCredentials.createInsecure(),
      (error, bound) => (error ? reject(error) : resolve(bound)),
    );
  });
  const client = new AgentServiceClient(
    `127.0.0.1:${port}`,
    credentials.createInsecure(),
  );
  return { role, client };
}

function createChat(
  number: number,
  { tokens = 8, text = "hello" }: {
    readonly tokens?: number;
    readonly text?: string;
  } = {},
): RunRequest {
  const body = {
    messages: [{ role: "user", content: text }],
    max_tokens: tokens,
    stream: true,
  };
  return {
    ...RunRequest.decode(new Uint8Array()),
    attempt: { router: "router-a1", routerIncarnation: 5, number },
    targetIncarnation: testIncarnation,
    requestId: `r${number}`,
    service: "chat",
    workspace: "w1",
    priority: "interactive",
    deadlineMs: 60_000,
    repeatable: true,
    fingerprint: `f${number}`,
    promptTokens: 5,
    outputTokens: tokens,
    method: "POST",
    path: "/v1/chat/completions",
    headers: [{ name: "content-type", value: "application/json" }],
    body: Buffer.from(JSON.stringify(body)),
    isChat: true,
  };
}

function sendOrder(
  client: AgentServiceClient,
  fencingNumber: number,
): Promise<OrderResponse> {
  const request: OrderRequest = {
    targetIncarnation: testIncarnation,
    action: "load_adapter",
    adapter: "a1",
    fencingNumber,
    operator: "op",
  };
  return new Promise((resolve, reject) => {
    client.order(
      request,
      (error, response) => error ? reject(error) : resolve(response),
    );
  });
}

async function collect(call: AsyncIterable<RunEvent>): Promise<RunEvent[]> {
  const events: RunEvent[] = [];
  for await (const event of call) events.push(event);
  return events;
}

function getLastEvent(events: readonly RunEvent[]): unknown {
  return events.at(-1)?.event?.value;
}

function getBody(events: readonly RunEvent[]): Buffer {
  return Buffer.concat(
    events.flatMap(({ event }) =>
      event?.$case === "chunk" ? [event.value.data] : []
    ),
  );
}

/** Joins the tokens of a streamed response. */
function parseText(body: Buffer): string {
  return body.toString().split("\n\n")
    .filter((event) => event.startsWith("data: {"))
    .map((event) => {
      const { choices } = JSON.parse(event.slice("data: ".length)) as {
        readonly choices: readonly {
          readonly delta: { readonly content?: string };
        }[];
      };
      return choices[0]?.delta.content ?? "";
    })
    .join("");
}

async function waitUntil(check: () => boolean): Promise<void> {
  while (!check()) await new Promise((resolve) => setTimeout(resolve, 5));
}
