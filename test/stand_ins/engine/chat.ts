/** Parses chat completion requests; sends responses in full or streamed. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { type Fields, getNumber, getText, sendJson } from "../http.ts";
import type { ChatRequest, EngineSettings } from "./engine.ts";
import type { Generation } from "./generation.ts";
import type { Message } from "./prompt.ts";

/** Tokens to generate when the request has no `max_tokens`. */
const defaultMaxTokens = 16;

/** Parses a chat request from its headers and its JSON body. */
export function parseChatRequest(
  request: IncomingMessage,
  fields: Fields,
): ChatRequest {
  const priority = getHeader(request, "x-priority") ||
    getText(fields, "priority");
  const seed = fields["seed"];
  return {
    requestId: getHeader(request, "x-request-id") ||
      getText(fields, "request_id"),
    messages: parseMessages(fields["messages"]),
    maxTokens: getNumber(fields, "max_tokens", defaultMaxTokens),
    isUrgent: priority !== "background",
    seed: seed === undefined ? "" : String(seed),
  };
}

function parseMessages(value: unknown): readonly Message[] {
  if (!Array.isArray(value)) throw new Error("messages must be a list");
  return value.map((message: Fields) => ({
    role: getText(message, "role"),
    content: getText(message, "content"),
  }));
}

function getHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === "string" ? value : "";
}

/** Sends the complete response once it is generated. */
export async function sendCompletion(
  response: ServerResponse,
  generation: Generation,
): Promise<void> {
  const tokens = generation.read(0);
  let next = await tokens.next();
  while (next.done !== true) next = await tokens.next();
  if (next.value === "cancelled") {
    response.destroy();
    return;
  }
  sendJson(response, {
    id: generation.id,
    object: "chat.completion",
    created: Math.floor(Date.now() / 1000),
    model: "stand-in",
    choices: [{
      index: 0,
      message: { role: "assistant", content: generation.getText() },
      finish_reason: "stop",
    }],
    usage: getUsage(generation),
  });
}

/** Streams the response from a token offset as server-sent events. */
export async function sendStream(
  response: ServerResponse,
  generation: Generation,
  options: { readonly offset: number; readonly settings: EngineSettings },
): Promise<void> {
  const { settings } = options;
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
    "x-stream-id": generation.id,
  });
  const tokens = generation.read(options.offset);
  let sent = options.offset;
  let next = await tokens.next();
  while (next.done !== true) {
    await sendEvent(response, generation, { content: next.value });
    sent++;
    if (sent === settings.cutAfterTokens) {
      // Simulates a cut by the network. The generation goes on, so the
      // listener that would cancel it is removed.
      response.removeAllListeners("close");
      response.destroy();
      return;
    }
    if (sent === settings.endAfterTokens) {
      response.end();
      return;
    }
    next = await tokens.next();
  }
  if (next.value === "cancelled") {
    response.destroy();
    return;
  }
  await sendEvent(response, generation, { finish: "stop" });
  response.write("data: [DONE]\n\n");
  response.end();
}

async function sendEvent(
  response: ServerResponse,
  generation: Generation,
  payload: { readonly content?: string; readonly finish?: string },
): Promise<void> {
  const event = {
    id: generation.id,
    object: "chat.completion.chunk",
    created: Math.floor(Date.now() / 1000),
    model: "stand-in",
    choices: [{
      index: 0,
      delta: payload.content === undefined ? {} : { content: payload.content },
      finish_reason: payload.finish ?? null,
    }],
    ...(payload.finish === undefined ? {} : { usage: getUsage(generation) }),
  };
  if (response.write(`data: ${JSON.stringify(event)}\n\n`)) return;
  await waitForDrain(response);
}

function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    response.once("drain", resolve);
    response.once("close", resolve);
  });
}

function getUsage(generation: Generation): object {
  const completionTokens = generation.getLength();
  return {
    prompt_tokens: generation.promptTokens,
    completion_tokens: completionTokens,
    total_tokens: generation.promptTokens + completionTokens,
    prompt_tokens_details: { cached_tokens: generation.cachedTokens },
  };
}
