/** Serves the model engine over HTTP; docs/PLATFORM.md describes its API. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Request } from "polka";
import {
  createServer,
  type Fields,
  getNumber,
  getQuery,
  getText,
  listen,
  readFields,
  sendJson,
  type ServerHandle,
  toMiddleware,
} from "../http.ts";
import { createAdapters } from "./adapters.ts";
import { parseChatRequest, sendCompletion, sendStream } from "./chat.ts";
import { createEngine, type Engine, type EngineSettings } from "./engine.ts";
import type { Block } from "./prompt.ts";

/** An engine that listens, with its state and settings exposed to tests. */
export interface EngineServer extends ServerHandle {
  readonly engine: Engine;
  readonly settings: EngineSettings;
}

/** Starts an engine; without `crash`, a crash closes its connections. */
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

  server.post("/v1/chat/completions", toMiddleware(chat));
  server.get("/v1/streams/:id", toMiddleware(resume));
  server.post("/v1/streams/:id/cancel", toMiddleware(cancel));
  server.get(
    "/health",
    toMiddleware((_request, response) => {
      sendJson(response, { status: "ok" });
    }),
  );
  server.get(
    "/load",
    toMiddleware((_request, response) => {
      sendJson(response, engine.getLoad());
    }),
  );
  server.get(
    "/counts",
    toMiddleware((_request, response) => {
      sendJson(response, engine.getCounts());
    }),
  );
  server.get(
    "/cache/events",
    toMiddleware((request, response) => {
      const after = Number(getQuery(request).get("after") ?? 0);
      sendJson(response, { events: engine.cache.getEvents(after) });
    }),
  );
  server.post("/cache/export", toMiddleware(exportCache));
  server.post("/cache/import", toMiddleware(importCache));
  server.get(
    "/adapters",
    toMiddleware((_request, response) => {
      sendJson(response, {
        loaded: adapters.getLoaded(),
        highest: adapters.getHighestFencingNumber(),
        history: adapters.getHistory(),
      });
    }),
  );
  server.post("/adapters", toMiddleware(order));
  server.post(
    "/faults",
    toMiddleware(async (request, response) => {
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
    const generation = engine.run(parseChatRequest(request, fields));
    // Cancels the work when the caller disconnects before its end; a caller
    // can also cancel by the stream's id.
    response.on("close", () => generation.cancel());
    if (fields["stream"] === true) {
      await sendStream(response, generation, { offset: 0, settings });
    } else {
      await sendCompletion(response, generation);
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
    // Cuts only the first connection of a stream, so that resuming works.
    const uncutSettings = { ...settings, cutAfterTokens: 0 };
    await sendStream(response, generation, { offset, settings: uncutSettings });
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
      ? ids.flatMap((id) => engine.getResponseBlocks(String(id)))
      : engine.cache.getRecent(getNumber(fields, "limit_tokens", Infinity));
    sendJson(response, { blocks });
  }

  async function importCache(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { blocks } = await readFields(request);
    const importedBlocks = Array.isArray(blocks) ? blocks as Block[] : [];
    engine.cache.store(importedBlocks);
    sendJson(response, { imported: importedBlocks.length });
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
