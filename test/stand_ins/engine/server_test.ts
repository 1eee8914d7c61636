import { once } from "node:events";
import { type IncomingMessage, request as startRequest } from "node:http";
import { classifyDraft, getDraftText } from "./draft.ts";
import { defaultEngineSettings, type EngineSettings } from "./engine.ts";
import { type EngineServer, startEngine } from "./server.ts";

interface EngineResponse {
  readonly status: number;
  readonly text: string;
  readonly body: Record<string, never>;
}

const question = [{ role: "user", content: "A note about spring, please" }];

describe("engine stand-in", () => {
  let server: EngineServer;
  const crashes: string[] = [];

  afterEach(() => server.close());

  async function start(settings: Partial<EngineSettings> = {}): Promise<void> {
    server = await startEngine({
      ...defaultEngineSettings,
      tokenMs: 0,
      promptTokenUs: 0,
      eventDelayMs: 0,
      ...settings,
      id: "engine-1",
    }, { port: 0, crash: () => crashes.push("engine-1") });
  }

  async function post(path: string, body: unknown): Promise<EngineResponse> {
    const response = await fetch(`http://127.0.0.1:${server.port}${path}`, {
      method: "POST",
      body: JSON.stringify(body),
    });
    const text = await response.text();
    const json = text.startsWith("{") ? JSON.parse(text) : {};
    return { status: response.status, text, body: json };
  }

  async function fetchPath(path: string): Promise<EngineResponse> {
    const response = await fetch(`http://127.0.0.1:${server.port}${path}`);
    const text = await response.text();
    const json = text.startsWith("{") ? JSON.parse(text) : {};
    return { status: response.status, text, body: json };
  }

  function chat(fields: object = {}): Promise<EngineResponse> {
    return post("/v1/chat/completions", {
      messages: question,
      max_tokens: 6,
      ...fields,
    });
  }

  describe("chat", () => {
    it("sends a complete response with its usage", async () => {
      await start();
      const { body } = await chat({ seed: "d1" });
      expect(body).toMatchObject({
        choices: [{ message: { content: getDraftText("d1", 6) } }],
        usage: {
          completion_tokens: 6,
          prompt_tokens_details: { cached_tokens: 0 },
        },
      });
    });

    it("streams the same text and sends the end marker", async () => {
      await start();
      const { text } = await chat({ stream: true, seed: "d1" });
      expect(parseStreamText(text)).toBe(getDraftText("d1", 6));
      expect(text.endsWith("data: [DONE]\n\n")).toBe(true);
    });

    it("finds a returning chat's prompt and response cached", async () => {
      await start();
      const { body } = await chat({ seed: "d1" });
      const assistantMessage = body["choices"]?.[0]?.["message"];
      const again = await chat({
        messages: [...question, assistantMessage, {
          role: "user",
          content: "More",
        }],
      });
      const details = again.body["usage"]?.["prompt_tokens_details"];
      const prompt = again.body["usage"]
        ?.["prompt_tokens"] as unknown as number;
      expect(details).toEqual({ cached_tokens: prompt - 5 });
    });

    it("evicts the least recently used prompts", async () => {
      await start({ cacheTokens: 60 });
      await chat();
      for (const topic of ["winter", "harbour", "lantern"]) {
        await chat({ messages: [{ role: "user", content: topic.repeat(5) }] });
      }
      const again = await chat();
      expect(again.body["usage"]?.["prompt_tokens_details"])
        .toEqual({ cached_tokens: 0 });
    });

    it("generates a different draft in each run", async () => {
      await start();
      const [first, second] = [await chat(), await chat()];
      expect(first.text).not.toBe(second.text);
    });

    it("resumes a stream at an offset", async () => {
      await start();
      const { text } = await chat({ stream: true, seed: "d1" });
      const id = JSON.parse(text.slice(6, text.indexOf("\n"))).id;
      const rest = await fetchPath(`/v1/streams/${id}?offset=2`);
      const head = getDraftText("d1", 2);
      expect(head + parseStreamText(rest.text)).toBe(getDraftText("d1", 6));
    });

    it("cancels the generation when the caller disconnects", async () => {
      await start({ tokenMs: 5 });
      const response = await openStream(server.port);
      await once(response, "data");
      response.destroy();
      await waitFor(() => server.engine.getCounts().cancelled === 1);
      await waitFor(() => server.engine.getCounts().running === 0);
      expect(server.engine.getCounts().done).toBe(0);
    });

    it("runs interactive requests before background requests", async () => {
      await start({ slots: 1, tokenMs: 1 });
      const order: string[] = [];
      await Promise.all([
        chat({ max_tokens: 20 }),
        chat({ priority: "background" }).then(() => order.push("background")),
        chat({ priority: "interactive" }).then(() => order.push("urgent")),
      ]);
      expect(order).toEqual(["urgent", "background"]);
    });
  });

  describe("faults", () => {
    it("crashes on a request with the crash marker", async () => {
      await start();
      const marked = [{ role: "user", content: "x __crash__ y" }];
      chat({ messages: marked }).catch(() => undefined);
      await waitFor(() => crashes.length === 1);
      expect(crashes).toEqual(["engine-1"]);
    });

    it("cuts a stream, or closes it early without its end marker", async () => {
      await start({ endAfterTokens: 3 });
      const { text } = await chat({ stream: true });
      expect(classifyDraft(parseStreamText(text), 6)).toBe("short");
      expect(text).not.toContain("[DONE]");
      await post("/faults", { endAfterTokens: 0, cutAfterTokens: 3 });
      await expect(chat({ stream: true })).rejects.toThrow();
    });
  });

  describe("reports", () => {
    it("reports load with a lag", async () => {
      await start({ tokenMs: 1000, loadLagMs: 60_000 });
      chat().catch(() => undefined);
      await waitFor(() => server.engine.getCounts().running === 1);
      expect((await fetchPath("/load")).body).toMatchObject({ running: 0 });
    });

    it("loses every n-th cache event", async () => {
      await start({ eventGap: 2 });
      await chat();
      const { body } = await fetchPath("/cache/events?after=0");
      const events = body["events"] as unknown as { sequence: number }[];
      expect(events.map(({ sequence }) => sequence)).toEqual([1]);
    });

    it("publishes cache events after a delay", async () => {
      await start({ eventDelayMs: 60_000 });
      await chat();
      expect((await fetchPath("/cache/events")).body).toEqual({ events: [] });
    });

    it("exports the cache of a finished chat and imports it", async () => {
      await start();
      const { body } = await chat();
      const exported = await post("/cache/export", { ids: [body["id"]] });
      server.engine.cache.clear();
      await post("/cache/import", exported.body);
      const again = await chat();
      const usage = again.body["usage"] as unknown as Record<string, unknown>;
      expect(usage["prompt_tokens_details"])
        .toEqual({ cached_tokens: usage["prompt_tokens"] });
    });
  });

  describe("orders", () => {
    const order = { action: "load_adapter", adapter: "spring" };

    it("refuses an old fencing number when it checks", async () => {
      await start();
      expect((await post("/adapters", { ...order, fencing_number: 2 })).status)
        .toBe(200);
      const staleOrder = { ...order, adapter: "winter", fencing_number: 1 };
      expect((await post("/adapters", staleOrder)).status).toBe(409);
      expect((await fetchPath("/adapters")).body)
        .toMatchObject({ loaded: ["spring"], highest: 2 });
    });

    it("accepts an old fencing number when it does not check", async () => {
      await start({ checksFencing: false });
      await post("/adapters", { ...order, fencing_number: 2 });
      const staleOrder = { ...order, adapter: "winter", fencing_number: 1 };
      expect((await post("/adapters", staleOrder)).status).toBe(200);
      expect((await fetchPath("/adapters")).body)
        .toMatchObject({ loaded: ["spring", "winter"] });
    });
  });
});

function openStream(port: number): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const request = startRequest({
      port,
      host: "127.0.0.1",
      path: "/v1/chat/completions",
      method: "POST",
    }, resolve);
    request.on("error", reject);
    request.end(JSON.stringify({
      messages: question,
      stream: true,
      max_tokens: 10_000,
    }));
  });
}

function parseStreamText(text: string): string {
  return text.split("\n\n")
    .filter((event) => event.startsWith("data: {"))
    .map((event) => JSON.parse(event.slice(6)))
    .map((event) => event.choices[0].delta.content ?? "")
    .join("");
}

async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 2);
    });
  }
}
