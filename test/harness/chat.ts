/** Chats and calls as a caller makes them. */

import { Agent, request } from "undici";
import { callHttp, type HttpAnswer, type JsonValue, readPath } from "./http.ts";

/** One message of a chat. */
export interface ChatMessage {
  readonly role: "user" | "assistant";
  readonly content: string;
}

/** A chat request. */
export interface ChatOptions {
  readonly messages: readonly ChatMessage[];
  readonly conversation: string;
  readonly maxTokens?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
  /** Called with each piece of text; only of a stream. */
  readonly onText?: (text: string) => void;
}

/** What a caller saw of a chat. */
export interface ChatAnswer {
  readonly status: number;
  readonly text: string;
  /** True when the answer says itself that it is whole. */
  readonly isWhole: boolean;
  /** What the answer says of its outcome; empty when it says nothing. */
  readonly outcome: string;
  readonly code: string;
  readonly place: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** True when the connection was cut before its end. */
  readonly isCut: boolean;
}

const dispatcher = new Agent({ connections: 1000 });

/** Sends a chat and waits for the whole answer. */
export async function sendChat(
  routerUrl: string,
  options: ChatOptions,
): Promise<ChatAnswer> {
  const answer = await callHttp(`${routerUrl}/v1/chat/completions`, {
    headers: getHeaders(options),
    body: getBody(options, false),
    ...(options.signal === undefined ? {} : { signal: options.signal }),
  });
  return {
    ...readEnd(answer),
    text: readContent(answer.json, "message"),
    isWhole: answer.status === 200,
    ...readUsage(answer.json),
    isCut: false,
  };
}

/** Sends a chat and reads its stream to the end, or to where it is cut. */
export async function streamChat(
  routerUrl: string,
  options: ChatOptions,
): Promise<ChatAnswer> {
  const response = await request(`${routerUrl}/v1/chat/completions`, {
    dispatcher,
    method: "POST",
    headers: getHeaders(options),
    body: JSON.stringify(getBody(options, true)),
    headersTimeout: 60_000,
    bodyTimeout: 60_000,
    ...(options.signal === undefined ? {} : { signal: options.signal }),
  });
  const reader = createStreamReader(options.onText);
  let isCut = false;
  try {
    for await (const data of response.body) reader.add(String(data));
  } catch {
    isCut = true;
  }
  const { trailers, statusCode: status, headers } = response;
  const end = readEnd({ status, headers: { ...headers, ...trailers } });
  return {
    ...end,
    code: reader.getErrorCode() || end.code,
    text: reader.getText(),
    isWhole: reader.isWhole(),
    ...readUsage(reader.getUsage()),
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
): Promise<HttpAnswer> {
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

function readEnd(
  answer: Pick<HttpAnswer, "status" | "headers">,
): Pick<ChatAnswer, "status" | "outcome" | "code" | "place"> {
  return {
    status: answer.status,
    outcome: String(answer.headers["x-outcome"] ?? ""),
    code: String(answer.headers["x-code"] ?? ""),
    place: String(answer.headers["x-place"] ?? ""),
  };
}

function readContent(json: JsonValue, part: "message" | "delta"): string {
  const content = readPath(json, `choices.0.${part}.content`);
  return typeof content === "string" ? content : "";
}

function readUsage(
  json: JsonValue,
): Pick<ChatAnswer, "promptTokens" | "cachedTokens"> {
  const details = "usage.prompt_tokens_details.cached_tokens";
  return {
    promptTokens: Number(readPath(json, "usage.prompt_tokens") ?? 0),
    cachedTokens: Number(readPath(json, details) ?? 0),
  };
}

interface StreamReader {
  add(data: string): void;
  getText(): string;
  isWhole(): boolean;
  getErrorCode(): string;
  getUsage(): JsonValue;
}

/** Reads server-sent events from pieces that are cut anywhere. */
function createStreamReader(
  onText: ((text: string) => void) | undefined,
): StreamReader {
  let pending = "";
  let text = "";
  let whole = false;
  let errorCode = "";
  let usage: JsonValue;

  return {
    add,
    getText: () => text,
    isWhole: () => whole,
    getErrorCode: () => errorCode,
    getUsage: () => usage,
  };

  function add(data: string): void {
    const events = (pending + data).split("\n\n");
    pending = events.pop() ?? "";
    events.forEach(read);
  }

  function read(event: string): void {
    const line = event.split("\n").find((part) => part.startsWith("data: "));
    const payload = line?.slice("data: ".length) ?? "";
    if (payload === "[DONE]") {
      whole = true;
      return;
    }
    if (!payload.startsWith("{")) return;
    const json = JSON.parse(payload) as JsonValue;
    if (event.startsWith("event: error")) {
      errorCode = String(readPath(json, "error.code"));
      return;
    }
    const added = readContent(json, "delta");
    text += added;
    if (readPath(json, "usage") !== undefined) usage = json;
    if (added !== "") onText?.(added);
  }
}
