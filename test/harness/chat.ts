/** Sends chats and calls to a router as a caller does. */

import { Agent, request } from "undici";
import {
  callHttp,
  type HttpResponse,
  type JsonValue,
  readPath,
} from "./http.ts";

/** One message of a chat. */
export interface ChatMessage {
  readonly role: "user" | "assistant";
  readonly content: string;
}

/** A chat request and how to send it. */
export interface ChatOptions {
  readonly messages: readonly ChatMessage[];
  readonly conversation: string;
  readonly maxTokens?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
  /** Called with each piece of text of a streamed response. */
  readonly onText?: (text: string) => void;
}

/** The response to a chat, as its caller receives it. */
export interface ChatResponse {
  readonly status: number;
  readonly text: string;
  /** True when the response itself states that it is complete. */
  readonly isComplete: boolean;
  /** Value of the header or trailer `x-outcome`; empty without it. */
  readonly outcome: string;
  /** Code of an error in the stream, or `x-code`; empty without one. */
  readonly code: string;
  /** Value of the header `x-place`: the target that responded. */
  readonly targetId: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** True when the connection was lost before the end of the response. */
  readonly isCut: boolean;
}

const dispatcher = new Agent({ connections: 1000 });

/** Sends a chat and waits for the complete response. */
export async function sendChat(
  routerUrl: string,
  options: ChatOptions,
): Promise<ChatResponse> {
  const response = await callHttp(`${routerUrl}/v1/chat/completions`, {
    headers: getHeaders(options),
    body: getBody(options, false),
    ...(options.signal === undefined ? {} : { signal: options.signal }),
  });
  return {
    ...parseEnd(response),
    text: parseContent(response.json, "message"),
    isComplete: response.status === 200,
    ...parseUsage(response.json),
    isCut: false,
  };
}

/** Sends a chat and reads its stream until it ends or is lost. */
export async function streamChat(
  routerUrl: string,
  options: ChatOptions,
): Promise<ChatResponse> {
  const response = await request(`${routerUrl}/v1/chat/completions`, {
    dispatcher,
    method: "POST",
    headers: getHeaders(options),
    body: JSON.stringify(getBody(options, true)),
    headersTimeout: 60_000,
    bodyTimeout: 60_000,
    ...(options.signal === undefined ? {} : { signal: options.signal }),
  });
  const parser = createStreamParser(options.onText);
  let isCut = false;
  try {
    for await (const data of response.body) parser.add(String(data));
  } catch {
    isCut = true;
  }
  const { trailers, statusCode: status, headers } = response;
  const end = parseEnd({ status, headers: { ...headers, ...trailers } });
  return {
    ...end,
    code: parser.getErrorCode() || end.code,
    text: parser.getText(),
    isComplete: parser.isComplete(),
    ...parseUsage(parser.getUsage()),
    isCut,
  };
}

/** Calls a plain service through a router. */
export function callService(
  routerUrl: string,
  options: {
    readonly path: string;
    readonly body?: object;
    readonly key?: string;
    readonly headers?: Readonly<Record<string, string>>;
  },
): Promise<HttpResponse> {
  return callHttp(`${routerUrl}/services/order-service${options.path}`, {
    headers: {
      "x-workspace": "team-1",
      ...(options.key === undefined ? {} : { "idempotency-key": options.key }),
      ...options.headers,
    },
    ...(options.body === undefined ? {} : { body: options.body }),
  });
}

function getHeaders(options: ChatOptions): Record<string, string> {
  return {
    "content-type": "application/json",
    "x-workspace": "team-1",
    "x-conversation": options.conversation,
    ...options.headers,
  };
}

function getBody(options: ChatOptions, stream: boolean): object {
  return {
    model: "chat-model",
    messages: options.messages,
    max_tokens: options.maxTokens ?? 16,
    stream,
  };
}

function parseEnd(
  response: Pick<HttpResponse, "status" | "headers">,
): Pick<ChatResponse, "status" | "outcome" | "code" | "targetId"> {
  return {
    status: response.status,
    outcome: String(response.headers["x-outcome"] ?? ""),
    code: String(response.headers["x-code"] ?? ""),
    targetId: String(response.headers["x-place"] ?? ""),
  };
}

function parseContent(json: JsonValue, field: "message" | "delta"): string {
  const content = readPath(json, `choices.0.${field}.content`);
  return typeof content === "string" ? content : "";
}

function parseUsage(
  json: JsonValue,
): Pick<ChatResponse, "promptTokens" | "cachedTokens"> {
  const cachedTokensPath = "usage.prompt_tokens_details.cached_tokens";
  return {
    promptTokens: Number(readPath(json, "usage.prompt_tokens") ?? 0),
    cachedTokens: Number(readPath(json, cachedTokensPath) ?? 0),
  };
}

interface StreamParser {
  add(data: string): void;
  getText(): string;
  isComplete(): boolean;
  getErrorCode(): string;
  getUsage(): JsonValue;
}

/** Parses server-sent events from chunks with arbitrary boundaries. */
function createStreamParser(
  onText: ((text: string) => void) | undefined,
): StreamParser {
  let pending = "";
  let text = "";
  let complete = false;
  let errorCode = "";
  let usage: JsonValue;

  return {
    add,
    getText: () => text,
    isComplete: () => complete,
    getErrorCode: () => errorCode,
    getUsage: () => usage,
  };

  function add(data: string): void {
    const events = (pending + data).split("\n\n");
    pending = events.pop() ?? "";
    events.forEach(parseEvent);
  }

  function parseEvent(event: string): void {
    const line = event.split("\n").find((part) => part.startsWith("data: "));
    const payload = line?.slice("data: ".length) ?? "";
    if (payload === "[DONE]") {
      complete = true;
      return;
    }
    if (!payload.startsWith("{")) return;
    const json = JSON.parse(payload) as JsonValue;
    if (event.startsWith("event: error")) {
      errorCode = String(readPath(json, "error.code"));
      return;
    }
    const delta = parseContent(json, "delta");
    text += delta;
    if (readPath(json, "usage") !== undefined) usage = json;
    if (delta !== "") onText?.(delta);
  }
}
