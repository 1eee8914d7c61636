/** Decodes callers' HTTP requests, whose headers the platform defines. */

import type { IncomingMessage } from "node:http";
import type { FrontendRequest } from "../types/direct_request.ts";
import type { Prompt, PromptPart } from "../types/prompt.ts";
import { limitTimeMs, limitTokens } from "../types/stated_numbers.ts";
import type { Header } from "../types/work.ts";
import { headerNames, reservedHeaders } from "./wire_names.ts";

/**
 * Headers that are not forwarded: hop-by-hop headers, and headers that the
 * router or the HTTP client sets itself.
 */
const unforwardedHeaders: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "transfer-encoding",
  "content-length",
  "upgrade",
  "expect",
  "te",
  "trailer",
  headerNames.requestId,
]);

/** Decodes a request whose body has been received. */
export function decodeRequest(
  message: IncomingMessage,
  { requestId, body }: {
    readonly requestId: string;
    readonly body: Uint8Array;
  },
): FrontendRequest {
  const deadlineMs = limitTimeMs(
    Number(getHeader(message, headerNames.deadline)),
  );
  return {
    requestId,
    host: getHostName(message.headers.host ?? ""),
    method: message.method ?? "GET",
    path: message.url ?? "/",
    headers: getForwardedHeaders(message),
    body,
    deadlineMs: deadlineMs > 0 ? deadlineMs : undefined,
    key: getHeader(message, headerNames.key),
    prompt: tryParsePrompt(message),
    lastEventId: getHeader(message, headerNames.lastEventId),
    resumes: getHeader(message, headerNames.resumes),
  };
}

function getHeader(message: IncomingMessage, name: string): string | undefined {
  const value = message.headers[name];
  return typeof value === "string" ? value : undefined;
}

function getHostName(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}

/**
 * Returns the caller's headers without hop-by-hop headers, reserved headers
 * and headers that `Connection` lists.
 */
function getForwardedHeaders(message: IncomingMessage): readonly Header[] {
  const connectionOptions = new Set(
    (message.headers.connection ?? "").toLowerCase().split(/[\s,]+/),
  );
  const headers: Header[] = [];
  const { rawHeaders } = message;
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? "";
    const lower = name.toLowerCase();
    if (unforwardedHeaders.has(lower) || reservedHeaders.has(lower)) continue;
    if (connectionOptions.has(lower) && !isAlwaysForwarded(lower)) continue;
    headers.push({ name, value: rawHeaders[index + 1] ?? "" });
  }
  return headers;
}

/**
 * Returns true for the host and for headers that describe the prompt: they are
 * forwarded even if the caller's `Connection` header lists them.
 */
function isAlwaysForwarded(name: string): boolean {
  return name === headerNames.model || name === headerNames.tokens ||
    name === headerNames.promptParts || name === "host";
}

/**
 * Parses the prompt's description. The tokens header holds the prompt's tokens
 * and the maximum of output tokens, separated by a comma.
 */
function tryParsePrompt(message: IncomingMessage): Prompt | undefined {
  const model = getHeader(message, headerNames.model);
  const tokens = getHeader(message, headerNames.tokens);
  if (model === undefined || tokens === undefined) return undefined;
  const [promptTokens = 0, maxOutputTokens = 0] = tokens.split(",")
    .map((text) => limitTokens(Number(text)));
  const hintedTokens = limitTokens(
    Number(getHeader(message, headerNames.lengthHint)),
  );
  return {
    model,
    parts: parseParts(getHeader(message, headerNames.promptParts) ?? ""),
    promptTokens,
    maxOutputTokens,
    hintedOutputTokens: hintedTokens > 0 ? hintedTokens : undefined,
  };
}

/** Parses `id:tokens` pairs, separated by commas; skips invalid pairs. */
function parseParts(text: string): readonly PromptPart[] {
  return text.split(",").flatMap((part) => {
    const [id, tokens] = part.trim().split(":");
    const count = limitTokens(Number(tokens));
    return id && count > 0 ? [{ id, tokens: count }] : [];
  });
}
