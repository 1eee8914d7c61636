/** The model engine over HTTP; docs/PLATFORM.md describes its calls. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Request } from "polka";
import {
  createServer,
  type Fields,
  getNumber,
  getQuery,
  getText,
  handle,
  listen,
  type Listening,
  readFields,
  sendJson,
} from "../http.ts";
import { createAdapters } from "./adapters.ts";
import { readChatRequest, sendStream, sendWhole } from "./chat.ts";
import { createEngine, type Engine, type EngineSettings } from "./engine.ts";
import type { Block } from "./prompt.ts";

/** An engine that listens, with its inside at hand for tests. */
export interface EngineServer extends Listening {
  readonly engine: Engine;
  readonly settings: EngineSettings;
}

/** Starts an engine; without a crash host, a crash closes its sockets. */
export async function startEngine(
  settings: EngineSettings,
  options: {
    readonly port: number;
    readonly address?: string;
    readonly crash?: () => void;
  },
): Promise<EngineServer> {
  const server = createServer();
  const engine = createEngine({ crash }, settings);
  const adapters = createAdapters({
    checksFencing: () => settings.checksFencing,
  });

  server.post("/v1/chat/completions", handle(chat));
  server.get("/v1/streams/:id", handle(resume));
  server.post("/v1/streams/:id/cancel", handle(cancel));
  server.get(
    "/health",
    handle((_request, response) => {
      sendJson(response, { status: "ok" });
    }),
  );
  server.get(
    "/load",
    handle((_request, response) => {
      sendJson(response, engine.getLoad());
    }),
  );
  server.get(
    "/counts",
    handle((_request, response) => {
      sendJson(response, engine.getCounts());
    }),
  );
  server.get(
    "/cache/events",
    handle((request, response) => {
      const after = Number(getQuery(request).get("after") ?? 0);
      sendJson(response, { events: engine.cache.getEvents(after) });
    }),
  );
  server.post("/cache/export", handle(exportCache));
  server.post("/cache/import", handle(importCache));
  server.get(
    "/adapters",
    handle((_request, response) => {
      sendJson(response, {
        loaded: adapters.getLoaded(),
        highest: adapters.getHighest(),
        history: adapters.getHistory(),
      });
    }),
  );
  server.post("/adapters", handle(order));
  server.post(
    "/faults",
    handle(async (request, response) => {
      setFaults(settings, await readFields(request));
      sendJson(response, settings);
    }),
  );

  const listening = await listen(server, options);
  return { ...listening, engine, settings };

  function crash(): void {
    if (options.crash !== undefined) {
      options.crash();
      return;
    }
    server.server?.close();
    (server.server as { closeAllConnections?: () => void })
      .closeAllConnections?.();
  }

  async function chat(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const fields = await readFields(request);
    const generation = engine.run(readChatRequest(request, fields));
    // A caller that goes away, or cancels by id, ends the work.
    response.on("close", () => generation.cancel());
    if (fields["stream"] === true) {
      await sendStream(response, generation, { offset: 0, settings });
    } else {
      await sendWhole(response, generation);
    }
  }

  async function resume(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const generation = engine.tryGetGeneration(getId(request));
    if (generation === undefined) {
      sendJson(response, { message: "No such stream" }, { status: 404 });
      return;
    }
    const offset = Number(getQuery(request).get("offset") ?? 0);
    // Only the first connection of a stream is cut.
    const whole = { ...settings, cutAfterTokens: 0 };
    await sendStream(response, generation, { offset, settings: whole });
  }

  function cancel(request: IncomingMessage, response: ServerResponse): void {
    engine.tryGetGeneration(getId(request))?.cancel();
    sendJson(response, {});
  }

  async function exportCache(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const fields = await readFields(request);
    const ids = fields["ids"];
    const blocks = Array.isArray(ids)
      ? ids.flatMap((id) => engine.getAnswerBlocks(String(id)))
      : engine.cache.getRecent(getNumber(fields, "limit_tokens", Infinity));
    sendJson(response, { blocks });
  }

  async function importCache(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { blocks } = await readFields(request);
    const taken = Array.isArray(blocks) ? blocks as Block[] : [];
    engine.cache.store(taken);
    sendJson(response, { imported: taken.length });
  }

  async function order(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const fields = await readFields(request);
    const result = adapters.order({
      action: getText(fields, "action"),
      adapter: getText(fields, "adapter"),
      fencingNumber: getNumber(fields, "fencing_number"),
    });
    const status = { accepted: 200, fenced: 409, bad_action: 400 }[result];
    sendJson(response, { result }, { status });
  }
}

function getId(request: IncomingMessage): string {
  return (request as Request).params["id"] ?? "";
}

function setFaults(settings: EngineSettings, fields: Fields): void {
  settings.tokenMs = getNumber(fields, "tokenMs", settings.tokenMs);
  settings.promptTokenUs = getNumber(
    fields,
    "promptTokenUs",
    settings.promptTokenUs,
  );
  settings.cutAfterTokens = getNumber(
    fields,
    "cutAfterTokens",
    settings.cutAfterTokens,
  );
  settings.endAfterTokens = getNumber(
    fields,
    "endAfterTokens",
    settings.endAfterTokens,
  );
  if (typeof fields["checksFencing"] === "boolean") {
    settings.checksFencing = fields["checksFencing"];
  }
}
